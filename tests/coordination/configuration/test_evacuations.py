"""
Test that an evacuation reaches every daemon despite partitions and restarts.

Guards against daemons that go on to use an evacuated domain because the log was
unreachable, the domain was partitioned or the daemon had just started.
"""

from corianderhold.coordination.configuration.evacuator import EvacuationOutcome
from corianderhold.ids import FailureDomainId
from corianderhold.state.configuration.codec import encode_evacuation
from corianderhold.state.configuration.records import EvacuationRecord
from tests.common.followers import Daemon
from tests.coordination.configuration.case import SpreadTestCase

DOMAIN = FailureDomainId("d1")
BEGIN = encode_evacuation(EvacuationRecord(DOMAIN, active=True))
END = encode_evacuation(EvacuationRecord(DOMAIN, active=False))
IN_FORCE_LIMIT_S = 2.0
AUTHOR = "ada"
TIMEOUT_S = 10.0


class EvacuationSpreadTests(SpreadTestCase):
    """Start and end an evacuation with nine daemons in three domains."""

    def list_unaware(self, evacuated: bool = True) -> list[Daemon]:
        return [
            daemon
            for daemon in self.fleet.daemons.values()
            if (DOMAIN in daemon.holder.current.evacuated) is not evacuated
        ]

    def wait_until_known(self, evacuated: bool, limit_s: float) -> None:
        known = self.fleet.run_until(lambda: not self.list_unaware(evacuated), limit_s)
        self.assertTrue(known, self.list_unaware(evacuated))

    def test_all_know_of_it_within_two_seconds(self) -> None:
        self.append(BEGIN)
        self.wait_until_known(True, IN_FORCE_LIMIT_S)
        self.append(END)
        self.wait_until_known(False, IN_FORCE_LIMIT_S)
        self.settle(1)

    def test_domain_without_the_log_learns_from_others(self) -> None:
        for daemon in self.get_domain(DOMAIN):
            self.ways[daemon.member.instance].cut = True
        self.append(BEGIN)
        self.wait_until_known(True, IN_FORCE_LIMIT_S)

    def test_partitioned_domain_learns_after_healing(self) -> None:
        self.isolate(DOMAIN)
        self.append(BEGIN)
        self.append_changes(1, 2)
        self.fleet.run_until(lambda: False, IN_FORCE_LIMIT_S)
        self.assertEqual(len(self.list_unaware()), 3)
        self.append(END)
        self.append(BEGIN)
        self.fleet.cuts.clear()
        for way in self.ways.values():
            way.cut = False
        self.wait_until_known(True, 10.0)
        self.settle(3)

    def test_daemon_that_starts_during_it_knows_before_it_serves(self) -> None:
        self.append(BEGIN)
        self.settle()
        started = self.add_daemon("d1", "10.0.0.20")
        self.fleet.run_until(lambda: started.holder.current.version > 0, 10.0)
        self.assertIn(DOMAIN, started.holder.current.evacuated)

    def test_order_is_in_force_when_it_is_answered(self) -> None:
        daemon = self.get_daemon(0)
        evacuator = self.make_evacuator(daemon)
        outcome = evacuator.order(DOMAIN, True, AUTHOR, TIMEOUT_S)
        self.assertIs(outcome, EvacuationOutcome.IN_FORCE)
        self.assertIn(DOMAIN, daemon.holder.current.evacuated)
        outcome = evacuator.order(DOMAIN, False, AUTHOR, TIMEOUT_S)
        self.assertIs(outcome, EvacuationOutcome.IN_FORCE)
        self.settle(1)
        self.assertEqual(self.list_unaware(False), [])

    def test_order_without_the_log_is_refused(self) -> None:
        daemon = self.get_daemon(0)
        self.ways[daemon.member.instance].cut = True
        outcome = self.make_evacuator(daemon).order(DOMAIN, True, AUTHOR, TIMEOUT_S)
        self.assertIsNot(outcome, EvacuationOutcome.IN_FORCE)
