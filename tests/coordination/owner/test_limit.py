"""
Test how the concurrency limits adapt to a simulated target.

A limit that is too high makes calls queue inside the target; one that falls without
reason wastes its capacity. Slow callees must not be mistaken for a slow target.
"""

from random import Random
from unittest import TestCase

from corianderhold.coordination.owner.admission import AdmissionController
from corianderhold.coordination.owner.const import (
    COLD_START_RAMP_S,
    INITIAL_LIMIT,
    SLOT_LIMIT_MIN_RATIO,
)
from corianderhold.coordination.owner.limit import (
    AdaptiveLimit,
    FixedLimit,
    SlotLimit,
)
from corianderhold.coordination.owner.policy import build_default_policy
from corianderhold.coordination.owner.registry import InFlightCall
from corianderhold.coordination.retry import RetryBudget
from tests.common.calls import make_context
from tests.common.clock import FakeClock

SLOTS = 10
SERVICE_S = 0.05
MAXIMUM = 100


class AdaptiveLimitTests(TestCase):
    """Drive the limit by a target that queues calls beyond its slots."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.limit = AdaptiveLimit(MAXIMUM, self.clock)

    def serve(
        self,
        service_s: float = SERVICE_S,
        failed: bool = False,
        rounds: int = 60,
        in_flight: int | None = None,
    ) -> None:
        """Complete batches of `in_flight` calls, or of as many as the limit allows."""
        for _ in range(rounds):
            calls = in_flight or self.limit.read_limit()
            duration_s = service_s * max(1.0, calls / SLOTS)
            self.clock.advance(duration_s)
            for left in range(calls, 0, -1):
                self.limit.record_completion(duration_s, failed, left)

    def test_limit_stays_near_the_slots(self) -> None:
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)
        self.assertLessEqual(self.limit.read_limit(), 2 * SLOTS + 1)

    def test_limit_stays_within_the_configured_bound(self) -> None:
        self.limit = AdaptiveLimit(5, self.clock)
        self.serve()
        self.assertEqual(self.limit.read_limit(), 5)

    def test_cold_target_keeps_its_limit_while_it_is_not_reached(self) -> None:
        self.assertEqual(self.limit.read_limit(), INITIAL_LIMIT)
        self.serve(in_flight=INITIAL_LIMIT - 1)
        self.assertEqual(self.limit.read_limit(), INITIAL_LIMIT)

    def test_slower_target_keeps_its_slots_busy_and_recovers(self) -> None:
        self.serve()
        self.serve(service_s=10 * SERVICE_S)
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS // 2)
        self.assertLessEqual(self.limit.read_limit(), 3 * SLOTS)
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)

    def test_decrease_that_does_not_shorten_calls_is_undone(self) -> None:
        self.limit = AdaptiveLimit(SLOTS, self.clock)
        self.serve()
        self.serve(service_s=10 * SERVICE_S, rounds=1)
        self.assertLess(self.limit.read_limit(), SLOTS)
        self.serve(service_s=10 * SERVICE_S, rounds=1)
        self.assertEqual(self.limit.read_limit(), SLOTS)
        self.serve(service_s=10 * SERVICE_S)
        self.assertEqual(self.limit.read_limit(), SLOTS)

    def test_target_that_is_still_slowing_down_is_compared_again(self) -> None:
        self.limit = AdaptiveLimit(SLOTS, self.clock)
        self.serve()
        self.serve(service_s=5 * SERVICE_S, rounds=1)
        self.serve(service_s=10 * SERVICE_S, rounds=2)
        self.assertLess(self.limit.read_limit(), SLOTS)

    def test_failures_shrink_the_limit_to_one(self) -> None:
        self.serve()
        self.serve(failed=True)
        self.assertEqual(self.limit.read_limit(), 1)
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)

    def test_calls_dispatched_before_a_change_are_ignored(self) -> None:
        self.serve()
        before = self.limit.read_limit()
        for _ in range(100):
            self.limit.record_completion(1000.0, False, before)
        self.assertEqual(self.limit.read_limit(), before)


class SlotLimitTests(TestCase):
    """Drive the limit of a target that announces its slots."""

    def test_limit_equals_the_slots_whatever_the_service_times(self) -> None:
        limit = SlotLimit(SLOTS, 0.0, FakeClock())
        for number in range(500):
            limit.record_completion(SERVICE_S * number, number % 2 == 0, SLOTS)
        self.assertEqual(limit.read_limit(), SLOTS)

    def test_refusals_lower_the_limit_and_completions_restore_it(self) -> None:
        limit = SlotLimit(SLOTS, 0.0, FakeClock())
        limit.record_refusal()
        self.assertEqual(limit.read_limit(), SLOTS - 1)
        for _ in range(10 * SLOTS):
            limit.record_refusal()
        self.assertEqual(limit.read_limit(), int(SLOTS * SLOT_LIMIT_MIN_RATIO))
        for _ in range(SLOTS * SLOTS):
            limit.record_completion(SERVICE_S, False, SLOTS)
        self.assertEqual(limit.read_limit(), SLOTS)

    def test_target_that_slows_down_when_full_is_kept_below_full(self) -> None:
        clock = FakeClock()
        limit = SlotLimit(13, 0.0, clock)

        def run(calls: int, slower: float = 1.0) -> None:
            for _ in range(300):
                in_flight = min(calls, limit.read_limit())
                duration_s = SERVICE_S * (slower if in_flight == 13 else 1.0)
                clock.advance(duration_s / in_flight)
                limit.record_completion(duration_s, False, in_flight)

        run(9)
        run(13, slower=1.1)
        self.assertEqual(limit.read_limit(), 13)
        run(13, slower=1.4)
        self.assertEqual(limit.read_limit(), 12)
        for _ in range(5):
            run(13)
        self.assertEqual(limit.read_limit(), 13)

    def test_slower_nested_service_does_not_lower_the_limit_for_long(self) -> None:
        clock = FakeClock()
        limit = SlotLimit(SLOTS, 0.0, clock)
        lowest = SLOTS
        for number in range(2000):
            slow = number > 500
            in_flight = min(limit.read_limit(), SLOTS if slow else SLOTS - 2)
            duration_s = SERVICE_S * (10 if slow else 1)
            clock.advance(duration_s / in_flight)
            limit.record_completion(duration_s, False, in_flight)
            lowest = min(lowest, limit.read_limit())
        self.assertEqual(lowest, SLOTS - 1)
        self.assertEqual(limit.read_limit(), SLOTS)

    def test_limit_of_a_cold_target_ramps_up(self) -> None:
        clock = FakeClock()
        limit = SlotLimit(SLOTS, clock.read_monotonic() + 2 * COLD_START_RAMP_S, clock)
        limits = []
        for _ in range(6):
            limits.append(limit.read_limit())
            clock.advance(COLD_START_RAMP_S / 2)
        self.assertEqual(limits, [5, 5, 5, 7, 10, 10])


class RecordingLimit(FixedLimit):
    """Record the durations of completed calls."""

    def __init__(self) -> None:
        super().__init__(1)
        self.durations_s: list[float] = []

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        """Record the duration."""
        self.durations_s.append(duration_s)


class NestedTimeTests(TestCase):
    """Adapt to the target's own service time only."""

    def test_time_of_nested_calls_is_subtracted(self) -> None:
        clock, limit = FakeClock(), RecordingLimit()
        admission = AdmissionController(limit, build_default_policy(), clock, Random(1))
        started_at = clock.read_monotonic()
        for nested_s in (0.0, 1.5, 3.0):
            context = make_context(deadline_at=started_at + 100.0)
            admission.acquire(context, lambda waiter: None)
            clock.advance(2.0)
            call_started_at = clock.read_monotonic() - 2.0
            admission.release(context.route, call_started_at, False, nested_s)
        self.assertEqual(limit.durations_s, [2.0, 0.5, 0.0])

    def test_call_sums_up_its_nested_calls(self) -> None:
        call = InFlightCall(make_context(), RetryBudget(0))
        call.record_nested(0.5)
        call.record_nested(1.0)
        self.assertEqual(call.nested_s, 1.5)
