"""
Test misbehaving callers, truncated responses and idle connections.

They guard against passing off a truncated response as whole, running an incomplete
request, leaking keys or trusted headers, and letting idle connections block others.
"""

import re
import socket
from contextlib import ExitStack

from corianderhold.state.configuration.model import CallerLimits
from corianderhold.state.configuration.records import Delta
from emulator.sample import BROADCASTER_KEY, UNKNOWN_KEY, build_change
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase, plan_ingest
from tests.common.waiting import wait_until

ENTRY = "entry"
OWNER = "owner"
INGEST = "/catalogue/ingest"
SEARCH = "/catalogue/search"
IDLE_CONNECTIONS = 600
OVERSIZED_HEADER_BYTES = 200_000
TIMEOUT_S = 20.0


class CallerTests(FleetTestCase):
    """Send malformed or aborted requests and truncate responses."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue"),
    )
    probes = (SEARCH,)

    def test_truncated_response_is_never_reported_whole(self) -> None:
        sent = []
        for entry in (ENTRY, OWNER):
            for query in ("?truncate=1", "?truncate=1&size=3000000"):
                plan = RequestPlan(INGEST + query, BROADCASTER_KEY, "POST")
                sent.append(self.send(entry, plan))
                chunked = f"{INGEST}{query}&chunked=1"
                plan = RequestPlan(chunked, BROADCASTER_KEY, "POST")
                sent.append(self.send(entry, plan))
        for plan, outcome in sent:
            self.assertFalse(outcome.is_whole, (plan, outcome.headers))
        self.check_verdicts(sent)

    def test_oversized_header_is_refused(self) -> None:
        for entry in (ENTRY, OWNER):
            headers = {"X-Large": "a" * OVERSIZED_HEADER_BYTES}
            plan = RequestPlan(INGEST, BROADCASTER_KEY, "POST", headers=headers)
            sent = self.send(entry, plan)
            self.assertFalse(sent[1].is_whole)
            self.assertEqual(self.fleet.count_runs()[plan.request_id], 0)
            self.check_verdicts(self.send_until_whole(entry, plan_ingest))

    def test_limits_of_callers_apply_without_a_restart(self) -> None:
        limits = CallerLimits(body_bytes_max=10)
        for version, limit, status in ((1, limits, 413), (2, CallerLimits(), 200)):
            self.fleet.publish(build_change(version, Delta(limits=limit)))
            for entry in (ENTRY, OWNER):
                plan = RequestPlan(INGEST, BROADCASTER_KEY, "POST", body=b"a" * 11)
                wait_until(
                    lambda at=entry, sent=plan, expected=status: (  # type: ignore[misc]
                        self.fleet.send(at, sent).status == expected
                    ),
                    f"{entry} answers {status}",
                )

    def test_body_cut_short_is_not_executed(self) -> None:
        plan = plan_ingest()
        for entry in (ENTRY, OWNER):
            for length in (100, 10_000_000):
                head = (
                    f"POST {INGEST} HTTP/1.1\r\nHost: x\r\nX-Request-Id: "
                    f"{plan.request_id}\r\nAuthorization: Bearer {plan.key}\r\n"
                    f"Content-Length: {length}\r\n\r\n"
                )
                with self._connect(entry) as connection:
                    connection.sendall(head.encode() + b"a" * 50)
                    connection.shutdown(socket.SHUT_WR)
                    connection.recv(1000)
        self.check_verdicts(self.send_until_whole(ENTRY, plan_ingest))
        self.assertEqual(self.fleet.count_runs()[plan.request_id], 0)

    def test_idle_connections_do_not_block_others(self) -> None:
        with ExitStack() as stack:
            idle = [
                stack.enter_context(self._connect(ENTRY))
                for _ in range(IDLE_CONNECTIONS)
            ]
            self.check_verdicts(self.send_until_whole(ENTRY, plan_ingest))
            request = (
                f"GET {SEARCH} HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer {BROADCASTER_KEY}\r\n\r\n"
            )
            for connection in idle:
                connection.sendall(request.encode())
                self.assertIn(b"200", connection.recv(65_536)[:20])
            self.check_verdicts(self.send_until_whole(ENTRY, plan_ingest))

    def test_keys_and_forged_headers_reach_no_target_or_log(self) -> None:
        for entry in (ENTRY, OWNER):
            names = ("Organisation", "Importance", "Context", "Other")
            forged = {f"X-Corianderhold-{name}": "forged" for name in names}
            plan = RequestPlan(INGEST, BROADCASTER_KEY, "POST", headers=forged)
            self.check_verdicts([self.send(entry, plan)])
            refused = self.send(entry, RequestPlan(SEARCH, UNKNOWN_KEY))
            self.assertEqual(refused[1].verdict, "not_run")
            self.assertNotIn(BROADCASTER_KEY, self._read(entry))
            self.assertNotIn(UNKNOWN_KEY, self._read(entry))
        executions = self.fleet.list_executions(OWNER)
        self.assertNotIn(BROADCASTER_KEY, str(executions))
        self.assertNotIn("forged", str(executions))
        organisations = {execution["organisation"] for execution in executions}
        self.assertEqual(organisations, {"broadcaster"})

    def test_call_is_cancelled_when_its_caller_disconnects(self) -> None:
        for entry in (ENTRY, OWNER):
            for query in ("work_ms=60000", "size=200000&stall_ms=60000"):
                self._disconnect_during_a_call(entry, query)

    def _disconnect_during_a_call(self, entry: str, query: str) -> None:
        """Close a connection with one call in flight and a pipelined one waiting."""
        plan = RequestPlan(f"{SEARCH}?{query}", BROADCASTER_KEY)
        request = (
            f"GET {plan.path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n"
            f"Authorization: Bearer {plan.key}\r\n\r\n"
        )
        with self._connect(entry) as connection:
            sent = request % plan.request_id + request % "the-next"
            connection.sendall(sent.encode())
            dispatched = "event=call_dispatched call=%s"
            wait_until(
                lambda: dispatched % self._find_call(entry, plan) in self._read(OWNER),
                "the call is dispatched",
            )
            if "size" in query:
                self.assertIn(b"200", connection.recv(65_536)[:20])
        call = self._find_call(entry, plan)
        for event in ("call_dispatched", "call_cancelled"):
            self._wait_for_line(f"event={event} call={call} request={plan.request_id}")

    def _wait_for_line(self, text: str) -> None:
        wait_until(lambda: text in self._read(OWNER), text)

    def _find_call(self, entry: str, plan: RequestPlan) -> str:
        """Return the call id of a request, or "none" if it was not routed yet."""
        routed = rf"event=call_routed call=(\w+) request={plan.request_id}"
        found = re.search(routed, self._read(entry))
        return found[1] if found else "none"

    def _read(self, instance: str) -> str:
        return self.fleet.get_daemon(instance).read_log()

    def test_drained_target_gets_no_new_calls(self) -> None:
        target = self.fleet.members[OWNER].target
        assert target is not None
        self.fleet.drain_target(OWNER)

        def is_refused() -> bool:
            return self.send(ENTRY, plan_ingest())[1].verdict == "not_run"

        wait_until(is_refused, "new calls are refused")
        runs = self.fleet.count_runs().total()
        sent = [self.send(entry, plan_ingest()) for entry in (ENTRY, OWNER)]
        self.assertEqual(self.fleet.count_runs().total(), runs)
        self.check_verdicts(sent)
        self.fleet.kill_target(OWNER)
        self.fleet.start_target(OWNER)
        self.check_verdicts(self.send_until_whole(ENTRY, plan_ingest))

    def _connect(self, entry: str) -> socket.socket:
        port = self.fleet.members[entry].ports["caller"]
        return socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
