"""Test which calls are refused while the target's own calls are."""

from unittest import TestCase

from corianderhold.coordination.owner.breaker import CalleeBreaker
from corianderhold.coordination.owner.const import (
    BREAKER_FAILURES,
    BREAKER_PROBE_INTERVAL_S,
)
from corianderhold.ids import RouteName
from tests.common.clock import FakeClock

LICENSE, PUBLISH = RouteName("license"), RouteName("publish")
WAIT_S = 2.0


class CalleeBreakerTests(TestCase):
    """Let one route of a target fail and another one not."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.breaker = CalleeBreaker(self.clock)

    def note_failures(self, times: int = BREAKER_FAILURES) -> None:
        for _ in range(times):
            self.breaker.note_end(LICENSE, failed=True)

    def use_probe(self) -> None:
        self.assertEqual(self.breaker.find_wait(LICENSE), 0.0)

    def test_failing_route_is_refused_until_the_callee_takes_calls(self) -> None:
        self.breaker.note_callee_refused(WAIT_S)
        self.note_failures()
        self.use_probe()
        self.assertEqual(self.breaker.find_wait(LICENSE), WAIT_S)
        self.clock.advance(BREAKER_PROBE_INTERVAL_S)
        self.use_probe()
        self.assertGreater(self.breaker.find_wait(LICENSE), 0.0)
        self.clock.advance(WAIT_S)
        for _ in range(3):
            self.use_probe()

    def test_route_that_calls_nobody_goes_on(self) -> None:
        self.breaker.note_callee_refused(WAIT_S)
        self.note_failures()
        for _ in range(3):
            self.assertEqual(self.breaker.find_wait(PUBLISH), 0.0)

    def test_failures_alone_refuse_nothing(self) -> None:
        self.note_failures(10)
        for _ in range(3):
            self.use_probe()

    def test_one_good_answer_lets_the_route_go_on(self) -> None:
        self.breaker.note_callee_refused(WAIT_S)
        self.note_failures()
        self.use_probe()
        self.breaker.note_end(LICENSE, failed=False)
        for _ in range(3):
            self.use_probe()

    def test_failures_of_an_earlier_shortage_do_not_count(self) -> None:
        self.breaker.note_callee_refused(WAIT_S)
        self.note_failures()
        self.clock.advance(2 * WAIT_S)
        self.breaker.note_callee_refused(WAIT_S)
        for _ in range(3):
            self.use_probe()


class Chain:
    """Services that call each other; what the deepest one calls is cold."""

    def __init__(self, length: int) -> None:
        self.clock = FakeClock()
        self.breakers = [CalleeBreaker(self.clock) for _ in range(length)]
        self.runs = 0

    def call(self, depth: int = 0) -> float:
        """Return the wait that a call was refused with, 0 where it ran and failed."""
        if depth == len(self.breakers):
            return WAIT_S
        breaker = self.breakers[depth]
        wait_s = breaker.find_wait(LICENSE)
        if wait_s:
            return wait_s
        self.runs += 1
        callee_wait_s = self.call(depth + 1)
        if callee_wait_s:
            breaker.note_callee_refused(callee_wait_s)
        breaker.note_end(LICENSE, failed=True)
        return 0.0


class ChainTests(TestCase):
    """Send 200 calls in a second down a chain of three services."""

    def test_refusal_climbs_to_the_root(self) -> None:
        chain = Chain(3)
        refused = 0
        for _ in range(200):
            refused += chain.call() > 0
            chain.clock.advance(0.005)
        self.assertGreaterEqual(refused, 180)
        self.assertLessEqual(chain.runs, 40)
