"""
Test that an acknowledged drain outlives a kill of the daemon that acknowledged it.

It guards against a target that gets calls again after its departure, because the
daemon beside it was killed before the store had the departure, and a heartbeat that
was held up reached the next start of that daemon; and against drains that nobody
acknowledges because open connections have gone silent.
"""

import time

from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until

ENTRY, OWNER, OTHER_OWNER = "entry", "owner", "other-owner"
SEARCH = "/catalogue/search"
OFFERED_S = 3.0
ANNOUNCE_EVERY_S = 0.5
ACKNOWLEDGEMENT_LIMIT_S = 1.0


class DepartureTests(FleetTestCase):
    """Run an entry and two owners in two failure domains."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-b", relay_peer=True),
        DaemonPlan(OWNER, "ch-west-a", "catalogue", relay_peer=True, target_id="t-1"),
        DaemonPlan(
            OTHER_OWNER, "ch-west-a", "catalogue", relay_peer=True, target_id="t-2"
        ),
    )
    probes = (SEARCH,)

    def test_drain_is_acknowledged_while_all_open_connections_are_silent(self) -> None:
        for peer in (ENTRY, OWNER):
            self.fleet.get_peer_relay(peer).silence()
        store = self.fleet.store
        assert store is not None
        store.freeze()
        self.addCleanup(store.thaw)
        began_at = time.monotonic()
        self.fleet.drain_target(OTHER_OWNER)
        self.assertLess(time.monotonic() - began_at, ACKNOWLEDGEMENT_LIMIT_S)

    def test_drain_acknowledged_without_the_store_outlives_a_kill(self) -> None:
        self.fleet.set_store_faults({"down": True})
        self.addCleanup(self.fleet.set_store_faults, {"down": False})
        self.fleet.drain_target(OWNER)
        self.fleet.get_daemon(OWNER).kill()
        self.fleet.start_daemon(OWNER)
        before = len(self.fleet.list_executions(OWNER))
        end_at = time.monotonic() + OFFERED_S
        announced_at = 0.0
        while (now := time.monotonic()) < end_at:
            if now >= announced_at + ANNOUNCE_EVERY_S:
                announced_at = now
                self.fleet.deliver_late_announcement(OWNER)
            self.send(ENTRY, RequestPlan(SEARCH, BROADCASTER_KEY))
        owner = self.fleet.get_daemon(OWNER)
        wait_until(
            lambda: "event=target_announced" in owner.read_log(),
            "the restarted daemon believes announcements",
        )
        self.assertEqual(len(self.fleet.list_executions(OWNER)), before)
        self.assertIn("event=departure_recalled", owner.read_log())
