"""
Test which calls are refused while the target's nested calls are refused.

Without the circuit breaker, calls that need a cold service run at every target up the
call chain and fail there, at the cost of calls that don't need it.
"""

from unittest import TestCase

from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.const import (
    BREAKER_FAILURES,
    BREAKER_PROBE_INTERVAL_S,
)
from corianderhold.ids import RouteName
from tests.common.clock import FakeClock

LICENSE, PUBLISH = RouteName("license"), RouteName("publish")
WAIT_S = 2.0


class CalleeBreakerTests(TestCase):
    """Let one route of a target fail while another one succeeds."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.breaker = CalleeCircuitBreaker(self.clock)

    def note_failures(self, times: int = BREAKER_FAILURES) -> None:
        for _ in range(times):
            self.breaker.record_outcome(LICENSE, failed=True)

    def assert_runs(self) -> None:
        self.assertEqual(self.breaker.find_retry_after(LICENSE), 0.0)

    def test_failing_route_is_refused_until_the_callee_accepts_calls(self) -> None:
        self.breaker.record_callee_refusal(WAIT_S)
        self.note_failures()
        self.assert_runs()
        self.assertEqual(self.breaker.find_retry_after(LICENSE), WAIT_S)
        self.clock.advance(BREAKER_PROBE_INTERVAL_S)
        self.assert_runs()
        self.assertGreater(self.breaker.find_retry_after(LICENSE), 0.0)
        self.clock.advance(WAIT_S)
        for _ in range(3):
            self.assert_runs()

    def test_route_without_nested_calls_is_not_refused(self) -> None:
        self.breaker.record_callee_refusal(WAIT_S)
        self.note_failures()
        for _ in range(3):
            self.assertEqual(self.breaker.find_retry_after(PUBLISH), 0.0)

    def test_failures_alone_refuse_nothing(self) -> None:
        self.note_failures(10)
        for _ in range(3):
            self.assert_runs()

    def test_one_success_closes_the_circuit(self) -> None:
        self.breaker.record_callee_refusal(WAIT_S)
        self.note_failures()
        self.assert_runs()
        self.breaker.record_outcome(LICENSE, failed=False)
        for _ in range(3):
            self.assert_runs()

    def test_failures_of_an_earlier_overload_do_not_count(self) -> None:
        self.breaker.record_callee_refusal(WAIT_S)
        self.note_failures()
        self.clock.advance(2 * WAIT_S)
        self.breaker.record_callee_refusal(WAIT_S)
        for _ in range(3):
            self.assert_runs()


class Chain:
    """A chain of services; the callee of the last one is cold."""

    def __init__(self, length: int) -> None:
        self.clock = FakeClock()
        self.breakers = [CalleeCircuitBreaker(self.clock) for _ in range(length)]
        self.runs = 0

    def call(self, depth: int = 0) -> float:
        """Return the retry-after of a refused call, or 0 if it ran and failed."""
        if depth == len(self.breakers):
            return WAIT_S
        breaker = self.breakers[depth]
        wait_s = breaker.find_retry_after(LICENSE)
        if wait_s:
            return wait_s
        self.runs += 1
        callee_wait_s = self.call(depth + 1)
        if callee_wait_s:
            breaker.record_callee_refusal(callee_wait_s)
        breaker.record_outcome(LICENSE, failed=True)
        return 0.0


class ChainTests(TestCase):
    """Send 200 calls per second through a chain of three services."""

    def test_refusal_propagates_to_the_root(self) -> None:
        chain = Chain(3)
        refused = 0
        for _ in range(200):
            refused += chain.call() > 0
            chain.clock.advance(0.005)
        self.assertGreaterEqual(refused, 180)
        self.assertLessEqual(chain.runs, 40)
