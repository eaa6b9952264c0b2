"""Test what the adaptive limit learns from a simulated target."""

from unittest import TestCase

from corianderhold.coordination.owner.const import INITIAL_LIMIT
from corianderhold.coordination.owner.limit import AdaptiveLimit
from tests.common.clock import FakeClock

SLOTS = 10
SERVICE_S = 0.05
MAXIMUM = 100


class AdaptiveLimitTests(TestCase):
    """Drive the limit with a target whose calls wait beyond its slots."""

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
        """End batches of calls, as many at once as asked or as the limit allows."""
        for _ in range(rounds):
            calls = in_flight or self.limit.read_limit()
            duration_s = service_s * max(1.0, calls / SLOTS)
            self.clock.advance(duration_s)
            for left in range(calls, 0, -1):
                self.limit.note_completion(duration_s, failed, left)

    def test_cold_target_starts_with_few_calls(self) -> None:
        self.assertEqual(self.limit.read_limit(), INITIAL_LIMIT)

    def test_limit_stays_near_the_slots(self) -> None:
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)
        self.assertLessEqual(self.limit.read_limit(), 2 * SLOTS + 1)

    def test_limit_stays_within_the_configured_bound(self) -> None:
        self.limit = AdaptiveLimit(5, self.clock)
        self.serve()
        self.assertEqual(self.limit.read_limit(), 5)

    def test_limit_that_is_not_reached_does_not_grow(self) -> None:
        self.serve(in_flight=INITIAL_LIMIT - 1)
        self.assertEqual(self.limit.read_limit(), INITIAL_LIMIT)

    def test_slower_target_keeps_its_slots_busy_and_recovers(self) -> None:
        self.serve()
        self.serve(service_s=10 * SERVICE_S)
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS // 2)
        self.assertLessEqual(self.limit.read_limit(), 3 * SLOTS)
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)

    def test_failures_shrink_the_limit_to_one(self) -> None:
        self.serve()
        self.serve(failed=True)
        self.assertEqual(self.limit.read_limit(), 1)
        self.serve()
        self.assertGreaterEqual(self.limit.read_limit(), SLOTS)

    def test_calls_from_before_a_change_are_not_judged(self) -> None:
        self.serve()
        before = self.limit.read_limit()
        for _ in range(100):
            self.limit.note_completion(1000.0, False, before)
        self.assertEqual(self.limit.read_limit(), before)
