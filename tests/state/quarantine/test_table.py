"""
Test which calls may run after crashes of targets.

A call that crashes its targets must be found soon, and one that only ran beside it must
not be refused.
"""

from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from corianderhold.ids import CrashId, Fingerprint, InstanceId, ServiceName
from corianderhold.state.quarantine.const import (
    CLEARANCES_MAX,
    FINGERPRINT_BYTES,
    ORGANISATION_QUARANTINES_MAX,
    QUARANTINE_S,
    QUARANTINES_MAX,
    REPORT_LIFETIME_S,
    REPORTS_MAX,
    SUSPECTS_MAX,
)
from corianderhold.state.quarantine.model import (
    CrashReport,
    Quarantine,
    Suspicion,
    rank_testers,
)
from corianderhold.state.quarantine.table import QuarantineTable
from tests.common.clock import FakeClock

SERVICE = ServiceName("catalogue")


def make_fingerprint(number: int, organisation: int = 0) -> Fingerprint:
    data = organisation.to_bytes(4, "big") + number.to_bytes(12, "big")
    assert len(data) == FINGERPRINT_BYTES
    return Fingerprint(data)


DEADLY = make_fingerprint(0)
BYSTANDERS = [make_fingerprint(number) for number in range(1, 9)]


class TableCase(TestCase):
    """Build a table on a fake clock."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = QuarantineTable(self.clock)
        self.crashes = 0

    def build_report(
        self, *suspects: Fingerprint, in_trial: bool = False
    ) -> CrashReport:
        self.crashes += 1
        crash_id = CrashId(self.crashes.to_bytes(12, "big"))
        now = self.clock.read_monotonic()
        return CrashReport(crash_id, SERVICE, now, suspects, in_trial)

    def crash(self, *suspects: Fingerprint, in_trial: bool = False) -> int:
        report = self.build_report(*suspects, in_trial=in_trial)
        return len(self.table.record_crash(report))

    def assert_suspicions(self, suspicion: Suspicion, *calls: Fingerprint) -> None:
        for call in calls:
            self.assertIs(self.table.find(call), suspicion)


class TableTests(TableCase):
    """Follow crashes, trials and responses at one daemon."""

    def test_all_calls_in_flight_at_a_crash_are_suspects_and_none_is_refused(
        self,
    ) -> None:
        self.crash(DEADLY, *BYSTANDERS)
        self.assert_suspicions(Suspicion.SUSPECT, DEADLY, *BYSTANDERS)
        self.assertEqual(self.table.count_suspects(), 9)

    def test_crash_in_a_trial_quarantines_the_suspect_alone(self) -> None:
        self.crash(DEADLY, *BYSTANDERS)
        self.assertEqual(self.crash(DEADLY, in_trial=True), 1)
        self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)
        self.assert_suspicions(Suspicion.SUSPECT, *BYSTANDERS)
        self.assertEqual(self.table.find_left_s(DEADLY), QUARANTINE_S)

    def test_third_crash_without_a_trial_quarantines_the_call_in_all_three(
        self,
    ) -> None:
        self.assertEqual(self.crash(DEADLY, BYSTANDERS[0], BYSTANDERS[1]), 0)
        self.assertEqual(self.crash(DEADLY, BYSTANDERS[1], BYSTANDERS[2]), 0)
        self.assertEqual(self.crash(DEADLY, BYSTANDERS[3]), 1)
        self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)
        self.assert_suspicions(Suspicion.SUSPECT, *BYSTANDERS[:4])

    def test_popular_call_in_all_crashes_is_refused_no_more_than_the_deadly_one(
        self,
    ) -> None:
        for _ in range(4):
            self.assertEqual(self.crash(DEADLY, BYSTANDERS[0]), 0)
        self.table.clear(BYSTANDERS[0])
        self.assert_suspicions(Suspicion.NONE, BYSTANDERS[0])
        self.clock.advance(0.1)
        self.assertEqual(self.crash(DEADLY, BYSTANDERS[0]), 1)
        self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)
        self.assert_suspicions(Suspicion.SUSPECT, BYSTANDERS[0])

    def test_response_clears_a_suspect_of_crashes_so_far(self) -> None:
        self.crash(*BYSTANDERS)
        self.clock.advance(1)
        self.assertIsNotNone(self.table.clear(BYSTANDERS[0]))
        self.assertIsNone(self.table.clear(BYSTANDERS[0]))
        self.assert_suspicions(Suspicion.NONE, BYSTANDERS[0])
        self.clock.advance(1)
        self.crash(BYSTANDERS[0])
        self.assert_suspicions(Suspicion.SUSPECT, BYSTANDERS[0])

    def test_cleared_quarantine_does_not_return_from_another_daemon(self) -> None:
        report = self.build_report(DEADLY, in_trial=True)
        (quarantine,) = self.table.record_crash(report)
        self.clock.advance(1)
        self.table.clear(DEADLY)
        self.table.merge((report,), (), (quarantine,))
        self.assert_suspicions(Suspicion.NONE, DEADLY)
        self.assertFalse(self.table.is_active)

    def test_quarantine_ends_in_a_trial_and_lasts_longer_after_each_crash(self) -> None:
        lasted_s = QUARANTINE_S
        for count in range(1, 4):
            self.crash(DEADLY, in_trial=True)
            self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)
            self.assertEqual(self.table.find_left_s(DEADLY), lasted_s, count)
            self.clock.advance(lasted_s)
            self.assert_suspicions(Suspicion.SUSPECT, DEADLY)
            lasted_s *= 2

    def test_everything_is_forgotten_in_the_end(self) -> None:
        self.crash(DEADLY, in_trial=True)
        self.crash(*BYSTANDERS)
        self.clock.advance(2 * QUARANTINE_S + REPORT_LIFETIME_S)
        view = self.table.read_view()
        self.assertEqual(
            (view.reports, view.clearances, view.quarantines), ((), (), ())
        )
        self.assertFalse(self.table.is_active)

    def test_memory_is_bounded(self) -> None:
        for number in range(REPORTS_MAX + 10):
            calls = [
                make_fingerprint(number * 1000 + each)
                for each in range(SUSPECTS_MAX + 10)
            ]
            self.crash(*calls)
        self.assertLessEqual(self.table.count_suspects(), REPORTS_MAX * SUSPECTS_MAX)
        for number in range(2 * QUARANTINES_MAX):
            self.crash(make_fingerprint(number, number), in_trial=True)
        for number in range(REPORTS_MAX):
            for each in self.table.read_view().reports[number].suspects[:1]:
                self.table.clear(each)
        view = self.table.read_view()
        self.assertLessEqual(len(view.quarantines), QUARANTINES_MAX)
        self.assertLessEqual(len(view.clearances), CLEARANCES_MAX)

    def test_organisation_does_not_displace_the_quarantines_of_others(self) -> None:
        self.crash(DEADLY, in_trial=True)
        for number in range(2 * QUARANTINES_MAX):
            self.clock.advance(0.001)
            self.crash(make_fingerprint(number, 7), in_trial=True)
        self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)
        self.assertLessEqual(
            self.table.count_quarantines(), ORGANISATION_QUARANTINES_MAX + 1
        )


class MergeTests(TableCase):
    """Merge what several daemons have seen."""

    def test_three_crashes_seen_by_three_owners_are_summed(self) -> None:
        reports = [self.build_report(DEADLY, BYSTANDERS[number]) for number in range(3)]
        new: tuple[Quarantine, ...] = ()
        for report in reports:
            new = self.table.merge((report,), (), ())
        self.assertEqual([each.fingerprint for each in new], [DEADLY])
        self.assert_suspicions(Suspicion.QUARANTINED, DEADLY)

    @given(st.integers(0, 2**32))
    def test_daemons_that_know_the_same_decide_the_same(self, seed: int) -> None:
        self.setUp()
        random = Random(seed)
        calls = [DEADLY, *BYSTANDERS]
        reports = []
        for _ in range(random.randint(1, 6)):
            chosen = random.sample(calls, random.randint(1, 4))
            self.clock.advance(0.01)
            reports.append(
                self.build_report(*chosen, in_trial=len(chosen) == 1 and seed % 2 == 0)
            )
        tables = []
        for _ in range(2):
            table = QuarantineTable(self.clock)
            random.shuffle(reports)
            for report in reports + reports:
                table.merge((report,), (), ())
            tables.append(table)
        one, other = tables
        for _ in range(2):
            view = other.read_view()
            one.merge(view.reports, view.clearances, view.quarantines)
            one, other = other, one
        self.assertEqual(one.read_view().digest, other.read_view().digest)
        for call in calls:
            self.assertIs(one.find(call), other.find(call))

    def test_daemons_choose_the_same_owner_for_a_trial(self) -> None:
        owners = [InstanceId(f"o{number}") for number in range(8)]
        first = rank_testers(DEADLY, owners)
        self.assertEqual(first, rank_testers(DEADLY, reversed(owners)))
        chosen = {rank_testers(make_fingerprint(n), owners)[0] for n in range(100)}
        self.assertEqual(chosen, set(owners))
