"""
Test configuration changes on running daemons and while the store fails.

They guard against serving a withdrawn key on an open connection, a start that needs
the store, and changes that are lost or accepted twice after lost responses or races.
"""

from concurrent.futures import ThreadPoolExecutor
from typing import Any
from uuid import uuid4

from urllib3 import HTTPConnectionPool

from corianderhold.cli.client import AdminClient, Reply
from corianderhold.state.configuration.entities import service_to_json
from corianderhold.state.configuration.model import Service
from emulator.sample import BROADCASTER, BROADCASTER_KEY, SERVICES
from tests.common.fleet import ADMIN_TOKEN, DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until

ENTRY = "entry"
OWNER = "owner"
OTHER = "other"
SEARCH = "/catalogue/search"
NO_FAULTS = {"down": False, "lose_answers": False}


class ConfigurationTests(FleetTestCase):
    """Publish changes through the administration API of several daemons."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue"),
        DaemonPlan(OTHER, "ch-west-b"),
    )
    probes = (SEARCH,)

    def setUp(self) -> None:
        super().setUp()
        self.clients = {
            instance: AdminClient(f"http://{member.get_address('admin')}", ADMIN_TOKEN)
            for instance, member in self.fleet.members.items()
        }
        self.addCleanup(self.settle)
        self.addCleanup(self.fleet.set_store_faults, NO_FAULTS)

    def call(
        self, instance: str, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Reply:
        """Call the administration API of one daemon."""
        reply: Reply = self.clients[instance].call(method, path, body).unwrap()
        return reply

    def read_version(self, instance: str) -> int:
        """Return the configuration version that one daemon has applied."""
        version: int = self.call(instance, "GET", "/v1/configuration").body["version"]
        return version

    def publish(self, instance: str, base: int, limit: int) -> Reply:
        """Publish a change of one service."""
        service: Service = SERVICES[0]
        value = service_to_json(service) | {"max_concurrency": limit}
        body = {
            "base_version": base,
            "change_id": str(uuid4()),
            "author": instance,
            "set": {"services": [value]},
        }
        return self.call(instance, "POST", "/v1/changes", body)

    def settle(self) -> None:
        """Wait until all daemons have the same version and digest."""

        def is_settled() -> bool:
            views = [
                self.call(instance, "GET", "/v1/status").body["configuration"]
                for instance in self.clients
            ]
            return len({(view["version"], view["digest"]) for view in views}) == 1

        wait_until(is_settled, "all daemons have the same configuration")

    def test_withdrawn_key_is_refused_on_an_open_connection(self) -> None:
        grant = {"organisation": BROADCASTER, "author": "ada"}
        granted = self.call(OTHER, "POST", "/v1/keys", grant).body
        headers = {"Authorization": f"Bearer {granted['key']}"}
        caller = self.fleet.members[ENTRY].get_address("caller")
        host, _, port = caller.partition(":")
        pool = HTTPConnectionPool(host, int(port), maxsize=1, block=True)
        self.addCleanup(pool.close)

        def read_reason() -> str:
            answer = pool.request("GET", SEARCH, headers=headers, retries=False)
            return answer.headers.get("X-Corianderhold-Reason", "")

        wait_until(lambda: read_reason() == "", "the new key is served")
        path = f"/v1/keys/{granted['key_id']}/withdraw"
        withdrawn = self.call(OTHER, "POST", path, {"author": "ada"})
        self.assertEqual(withdrawn.status, 201)
        wait_until(lambda: read_reason() == "key_withdrawn", "the key is refused")
        for _ in range(20):
            self.assertEqual(read_reason(), "key_withdrawn")
        self.assertEqual(pool.num_connections, 1)

    def test_daemon_starts_and_serves_while_the_store_is_down(self) -> None:
        version = self.read_version(OWNER)
        self.fleet.set_store_faults({"down": True})
        self.fleet.get_daemon(ENTRY).kill()
        self.fleet.start_daemon(ENTRY)
        self.assertEqual(self.read_version(ENTRY), version)
        plan = RequestPlan(SEARCH, BROADCASTER_KEY)
        self.fleet.wait_until_served([ENTRY], plan)
        refused = self.publish(ENTRY, version, 70)
        self.assertIn(refused.body["outcome"], ("refused", "unknown"))
        self.fleet.set_store_faults(NO_FAULTS)
        wait_until(
            lambda: self.publish_on_current(OTHER, 71), "a change is accepted again"
        )
        self.settle()

    def publish_on_current(self, instance: str, limit: int) -> bool:
        """Publish a change of the current version; return whether it was accepted."""
        reply = self.publish(instance, self.read_version(instance), limit)
        return bool(reply.body["outcome"] == "accepted")

    def test_lost_store_responses_are_resolved(self) -> None:
        base = self.read_version(OWNER)
        self.fleet.set_store_faults({"lose_answers": True})
        reply = self.publish(OWNER, base, 72)
        self.assertEqual((reply.status, reply.body["version"]), (201, base + 1))
        self.settle()
        self.assertEqual(self.read_version(ENTRY), base + 1)

    def test_one_of_three_concurrent_changes_is_accepted(self) -> None:
        self.settle()
        base = self.read_version(OWNER)
        with ThreadPoolExecutor(3) as operators:
            replies = list(
                operators.map(
                    lambda number: self.publish(
                        list(self.clients)[number], base, 80 + number
                    ),
                    range(3),
                )
            )
        accepted = [reply.body for reply in replies if reply.status == 201]
        self.assertEqual(len(accepted), 1, replies)
        for reply in replies:
            if reply.status != 201:
                self.assertEqual(reply.body["reason"], "lost_race")
                lost_to = reply.body["lost_to"]["change_id"]
                self.assertEqual(lost_to, accepted[0]["change_id"])
        self.settle()
        self.assertEqual(self.read_version(ENTRY), base + 1)
