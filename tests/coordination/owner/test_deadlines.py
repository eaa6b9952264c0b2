"""
Test that calls which can't complete before their deadline are refused early.

Otherwise an overloaded target spends its time on calls whose callers have given up.
"""

import threading

from corianderhold.coordination.owner.admission import DEADLINE_UNMEETABLE
from corianderhold.coordination.owner.const import ESTIMATE_LIFETIME_S
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.model import Importance
from tests.common.clock import FakeClock
from tests.coordination.owner.case import SEARCH, AdmissionCase

SERVICE_S = 1.0


class SlowCallCase(AdmissionCase):
    """Run one slow call, and send others while it is running."""

    clock: FakeClock

    def setUp(self) -> None:
        self.clock = FakeClock()
        super().setUp()
        self.acquire("first")
        self.clock.advance(SERVICE_S)
        self.release(SERVICE_S)
        self.acquire("running")


class DeadlineTests(SlowCallCase):
    """Refuse calls that would miss their deadline."""

    def assert_late(self, name: str) -> None:
        refusal = self.outcomes[name].unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.SHED)
        self.assertEqual(refusal.detail, DEADLINE_UNMEETABLE)

    def test_call_without_time_for_wait_and_service_is_not_queued(self) -> None:
        self.acquire("late", left_s=1.5 * SERVICE_S)
        self.assert_late("late")

    def test_call_without_time_left_after_the_queue_is_not_dispatched(self) -> None:
        thread = self.queue("waiting", left_s=3.0)
        self.clock.advance(0.5)
        self.admission.release(SEARCH, self.clock.read_monotonic() - 40.0, failed=False)
        thread.join()
        self.assert_late("waiting")
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_expired_estimate_refuses_no_call(self) -> None:
        self.clock.advance(ESTIMATE_LIFETIME_S + 0.1)
        thread = self.queue("waiting", left_s=0.9 * SERVICE_S)
        self.release()
        thread.join()
        self.assertTrue(self.outcomes["waiting"].is_ok())

    def test_failed_calls_do_not_affect_the_service_time(self) -> None:
        for _ in range(50):
            self.admission.release(SEARCH, self.clock.read_monotonic(), failed=True)
            self.acquire("again")
        self.acquire("late", left_s=1.5 * SERVICE_S)
        self.assert_late("late")


class ShedLevelTests(SlowCallCase):
    """Report to entries below which importance calls are refused."""

    def fill(self, importance: int) -> list[threading.Thread]:
        return [self.queue(f"queued-{i}", importance, 50.0) for i in range(2)]

    def read_level(self) -> int:
        return self.admission.report_load(False).shed_below

    def drain(self, threads: list[threading.Thread]) -> None:
        for _ in range(3):
            self.release()
        for thread in threads:
            thread.join()

    def test_level_is_that_of_the_least_important_queued_call(self) -> None:
        threads = self.fill(Importance.NORMAL)
        self.assertEqual(self.read_level(), Importance.HIGH)
        self.release()
        self.assertEqual(self.read_level(), 0)
        self.drain(threads)

    def test_critical_calls_are_never_shed_at_entries(self) -> None:
        threads = self.fill(Importance.CRITICAL)
        self.assertEqual(self.read_level(), Importance.CRITICAL)
        self.drain(threads)
