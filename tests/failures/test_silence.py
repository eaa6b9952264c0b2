"""
Test connections that drop all bytes without closing while new ones work.

They guard against calls in flight that hang on such a connection and later calls that
keep using it.
"""

from collections.abc import Callable

from tests.common.fleet import DaemonPlan
from tests.common.scenario import FleetTestCase, plan_ingest
from tests.common.waiting import WAIT_LIMIT_S, wait_until

ENTRY = "entry"
OWNER = "owner"
CALLS = 6


class SilentConnectionTests(FleetTestCase):
    """Silence the open connections between entry, owner and target."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(
            OWNER,
            "ch-west-b",
            service="catalogue",
            relay_peer=True,
            relay_target=True,
        ),
    )
    probes = ("/catalogue/search",)

    def test_calls_recover_from_silent_peer_links_in_use(self) -> None:
        self._silence_in_flight(self.fleet.get_peer_relay(OWNER).silence)

    def test_calls_recover_from_silent_idle_peer_links(self) -> None:
        relay = self.fleet.get_peer_relay(OWNER)
        sent = self.send_until_whole(ENTRY, plan_ingest)
        relay.silence()
        sent += self.send_until_whole(ENTRY, plan_ingest)
        self.check_verdicts(sent)

    def test_calls_recover_from_silent_target_connections(self) -> None:
        relay = self.fleet.members[OWNER].target_relay
        assert relay is not None
        self._silence_in_flight(relay.silence)

    def _silence_in_flight(self, silence: Callable[[], None]) -> None:
        plans = [plan_ingest("?work_ms=1000") for _ in range(CALLS)]
        futures = [self.send_in_background(ENTRY, plan) for plan in plans]
        wait_until(
            lambda: self.fleet.count_runs()[plans[0].request_id] == 1,
            "the target executes a call",
        )
        silence()
        sent = [future.result(WAIT_LIMIT_S) for future in futures]
        self.assertTrue(all(outcome.verdict for _, outcome in sent), sent)
        sent += self.send_until_whole(ENTRY, plan_ingest)
        self.check_verdicts(sent)
