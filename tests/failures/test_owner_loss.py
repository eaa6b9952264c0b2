"""
Test calls whose owner or entry is killed, restarted or paused.

They guard against calls executed twice or reported with a false verdict when a daemon
fails before, during or after the dispatch.
"""

from corianderhold.protocol.peer.messages import CallHead
from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.frames import FrameGate
from tests.common.relay import Relay, pass_frame
from tests.common.scenario import FleetTestCase, Sent, plan_ingest
from tests.common.waiting import WAIT_LIMIT_S, wait_until

ENTRY = "entry"
OWNER = "owner"
OTHER = "other"
SEARCH = "/catalogue/search"
SLOW = "?work_ms=1500"


class OwnerLossTests(FleetTestCase):
    """Fail one of two owners in a domain while it holds calls."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue", relay_peer=True),
        DaemonPlan(OTHER, "ch-west-b", service="catalogue", relay_peer=True),
    )
    probes = (SEARCH,)

    def setUp(self) -> None:
        super().setUp()
        self.wait_until_served()  # the previous test may leave no target known
        for relay in self._list_relays().values():
            self.addCleanup(setattr, relay, "frame_filter", pass_frame)
        self._wait_until_both_serve()

    def test_owner_killed_before_dispatch(self) -> None:
        gates = {}
        for instance, relay in self._list_relays().items():
            gates[instance] = FrameGate(CallHead)
            relay.frame_filter = gates[instance].filter
            self.addCleanup(gates[instance].released.set)
        future = self.send_in_background(ENTRY, plan_ingest())
        wait_until(
            lambda: any(gate.held.is_set() for gate in gates.values()),
            "a call frame is held by the relay",
        )
        victim = next(name for name, gate in gates.items() if gate.held.is_set())
        self.fleet.get_daemon(victim).kill()
        for gate in gates.values():
            gate.released.set()
        sent = future.result(WAIT_LIMIT_S)
        self._restart_and_check(victim, [sent])

    def test_owner_killed_after_dispatch(self) -> None:
        plan = plan_ingest(SLOW)
        future = self.send_in_background(ENTRY, plan)
        victim = self._wait_for_owner(plan)
        self.fleet.get_daemon(victim).kill()
        sent = future.result(WAIT_LIMIT_S)
        self.assertEqual(sent[1].verdict, "may_have_run", sent)
        self._restart_and_check(victim, [sent])

    def test_idempotent_call_survives_its_owner(self) -> None:
        plan = RequestPlan(SEARCH + SLOW, BROADCASTER_KEY)
        future = self.send_in_background(ENTRY, plan)
        victim = self._wait_for_owner(plan)
        self.fleet.get_daemon(victim).kill()
        sent = future.result(WAIT_LIMIT_S)
        self._restart_and_check(victim, [sent])
        self.assertNotEqual(sent[1].verdict, "not_run")

    def test_owner_replaced_beside_a_living_target(self) -> None:
        plans = [plan_ingest(SLOW) for _ in range(4)]
        futures = [self.send_in_background(ENTRY, plan) for plan in plans]
        victim = self._wait_for_owner(*plans)
        self.fleet.get_daemon(victim).kill()
        self.fleet.start_daemon(victim)
        sent = [future.result(WAIT_LIMIT_S) for future in futures]
        sent += [self.send(ENTRY, plan_ingest()) for _ in range(20)]
        sent += self.send_until_whole(victim, plan_ingest)
        self.check_verdicts(sent)

    def test_paused_owner(self) -> None:
        plans = [plan_ingest("?work_ms=300") for _ in range(6)]
        futures = [self.send_in_background(ENTRY, plan) for plan in plans]
        victim = self._wait_for_owner(*plans)
        daemon = self.fleet.get_daemon(victim)
        daemon.freeze()
        self.addCleanup(daemon.thaw)
        futures += [self.send_in_background(ENTRY, plan_ingest()) for _ in range(6)]
        sent = [future.result(WAIT_LIMIT_S) for future in futures]
        sent += self.send_until_whole(ENTRY, plan_ingest)
        daemon.thaw()
        sent += self.send_until_whole(victim, plan_ingest)
        self.check_verdicts(sent)

    def test_paused_entry(self) -> None:
        plans = [plan_ingest("?work_ms=300") for _ in range(6)]
        futures = [self.send_in_background(ENTRY, plan) for plan in plans]
        self._wait_for_owner(*plans)
        entry = self.fleet.get_daemon(ENTRY)
        entry.freeze()
        self.addCleanup(entry.thaw)
        runs_done = sum(self.fleet.count_runs()[plan.request_id] for plan in plans)
        self.assertGreater(runs_done, 0)
        self.send_until_whole(OWNER, plan_ingest)
        entry.thaw()
        sent = [future.result(WAIT_LIMIT_S) for future in futures]
        sent += self.send_until_whole(ENTRY, plan_ingest)
        self.check_verdicts(sent)

    def _wait_until_both_serve(self) -> None:
        """Wait until calls from the entry reach both owners."""
        served: set[str] = set()

        def serve_both() -> bool:
            plan, _ = self.send(ENTRY, plan_ingest())
            served.update(self.fleet.find_targets(plan.request_id))
            return served == {OWNER, OTHER}

        wait_until(serve_both, "both owners execute calls")

    def _list_relays(self) -> dict[str, Relay]:
        return {each: self.fleet.get_peer_relay(each) for each in (OWNER, OTHER)}

    def _wait_for_owner(self, *plans: RequestPlan) -> str:
        """Return the owner whose target executes one of the requests."""
        found: list[str] = []

        def is_found() -> bool:
            for plan in plans:
                found.extend(self.fleet.find_targets(plan.request_id))
            return bool(found)

        wait_until(is_found, "a target executes a request")
        return found[0]

    def _restart_and_check(self, victim: str, sent: list[Sent]) -> None:
        sent = [*sent, *self.send_until_whole(ENTRY, plan_ingest)]
        self.fleet.start_daemon(victim)
        sent += self.send_until_whole(victim, plan_ingest)
        self.check_verdicts(sent)
