"""Test that calls which can't end by their deadline are dropped early."""

import threading
from random import Random
from unittest import TestCase

from result import Result

from corianderhold.coordination.owner.admission import (
    DEADLINE_UNMEETABLE,
    Admission,
    AdmissionPolicy,
)
from corianderhold.coordination.owner.const import ESTIMATE_LIFETIME_S
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.coordination.owner.queue import Waiter
from corianderhold.ids import RouteName
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.configuration.model import Importance
from tests.common.calls import make_context
from tests.common.clock import FakeClock
from tests.common.waiting import wait_until

SEARCH = RouteName("search")
SERVICE_S = 1.0


class AdmissionCase(TestCase):
    """Let one slow call run and others come behind it."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        policy = AdmissionPolicy(2, lambda organisation: 1.0)
        self.admission = Admission(FixedLimit(1), policy, self.clock, Random(1))
        self.outcomes: dict[str, Result[Waiter, Refusal]] = {}
        self.acquire("first")
        self.clock.advance(SERVICE_S)
        self.release(SERVICE_S)
        self.acquire("running")

    def acquire(self, name: str, left_s: float = 100.0, importance: int = 1) -> None:
        deadline_at = self.clock.read_monotonic() + left_s
        context = make_context(name, importance, deadline_at=deadline_at)
        self.outcomes[name] = self.admission.acquire(context, lambda waiter: None)

    def queue(self, name: str, left_s: float, importance: int = 1) -> threading.Thread:
        """Start a thread that waits in the queue."""
        queued = self.admission.report_load(False).queued
        thread = threading.Thread(target=self.acquire, args=(name, left_s, importance))
        thread.start()
        wait_until(
            lambda: self.admission.report_load(False).queued > queued, f"{name} queues"
        )
        return thread

    def release(self, duration_s: float = 0.0) -> None:
        started_at = self.clock.read_monotonic() - duration_s
        self.admission.release(SEARCH, started_at, failed=False)


class DeadlineTests(AdmissionCase):
    """Refuse what would be late."""

    def assert_late(self, name: str) -> None:
        refusal = self.outcomes[name].unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.SHED)
        self.assertEqual(refusal.detail, DEADLINE_UNMEETABLE)

    def test_call_without_time_for_wait_and_service_is_not_queued(self) -> None:
        self.acquire("late", left_s=1.5 * SERVICE_S)
        self.assert_late("late")

    def test_call_whose_time_ran_out_in_the_queue_is_not_dispatched(self) -> None:
        thread = self.queue("waiting", left_s=3.0)
        self.clock.advance(0.5)
        self.admission.release(SEARCH, self.clock.read_monotonic() - 40.0, failed=False)
        thread.join()
        self.assert_late("waiting")
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_old_estimate_refuses_nobody(self) -> None:
        self.clock.advance(ESTIMATE_LIFETIME_S + 0.1)
        thread = self.queue("waiting", left_s=0.9 * SERVICE_S)
        self.release()
        thread.join()
        self.assertTrue(self.outcomes["waiting"].is_ok())

    def test_failed_calls_say_nothing_about_the_service_time(self) -> None:
        for _ in range(50):
            self.admission.release(SEARCH, self.clock.read_monotonic(), failed=True)
            self.acquire("again")
        self.acquire("late", left_s=1.5 * SERVICE_S)
        self.assert_late("late")


class ShedLevelTests(AdmissionCase):
    """Tell entries which importance is refused."""

    def fill(self, importance: int) -> list[threading.Thread]:
        return [self.queue(f"queued-{i}", 50.0, importance) for i in range(2)]

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

    def test_critical_calls_are_never_pushed_back_at_entries(self) -> None:
        threads = self.fill(Importance.CRITICAL)
        self.assertEqual(self.read_level(), Importance.CRITICAL)
        self.drain(threads)
