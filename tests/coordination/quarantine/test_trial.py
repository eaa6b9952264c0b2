"""Test which calls that may crash their target run beside each other, and when."""

import threading
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.coordination.quarantine.const import TRIALS_AT_ONCE
from corianderhold.coordination.quarantine.trial import TrialSlots
from corianderhold.ids import Fingerprint

CLOCK = SystemClock()
POSTPONED_S = (0.02, 0.05, 0.08)
SHORT_S = 0.05


def make_call(number: int) -> Fingerprint:
    return Fingerprint(bytes([number]) * 16)


class TrialSlotsTests(TestCase):
    """Take slots for suspects of one crash and of several."""

    def setUp(self) -> None:
        self.slots = TrialSlots(CLOCK)

    def take(
        self, number: int, *, alone: bool = False, wait_s: float = SHORT_S
    ) -> bool:
        """Try for a short time to take a slot for a call."""
        deadline_at = CLOCK.read_monotonic() + wait_s
        return self.slots.acquire(
            make_call(number), lambda: float("-inf"), deadline_at, lambda: alone
        )

    def test_further_crashes_postpone_a_trial_that_waits(self) -> None:
        began_at = CLOCK.read_monotonic()
        earliest = [began_at + each for each in POSTPONED_S]
        times = iter([*earliest, *earliest[-1:] * 100])
        self.assertTrue(
            self.slots.acquire(
                make_call(1), lambda: next(times), began_at + 60, lambda: False
            )
        )
        self.assertGreaterEqual(CLOCK.read_monotonic(), earliest[-1])

    def test_trial_that_would_begin_too_late_is_refused(self) -> None:
        now = CLOCK.read_monotonic()
        self.assertFalse(
            self.slots.acquire(make_call(1), lambda: now + 60, now + 1, lambda: False)
        )

    def test_different_suspects_of_one_crash_run_a_few_at_a_time(self) -> None:
        taken = [self.take(number) for number in range(TRIALS_AT_ONCE + 1)]
        self.assertEqual(taken, [True] * TRIALS_AT_ONCE + [False])
        self.slots.release(make_call(0))
        self.assertTrue(self.take(TRIALS_AT_ONCE))

    def test_equal_calls_run_one_after_the_other(self) -> None:
        self.assertTrue(self.take(1))
        self.assertFalse(self.take(1))
        self.slots.release(make_call(1))
        self.assertTrue(self.take(1))

    def test_suspect_of_several_crashes_runs_alone(self) -> None:
        self.assertTrue(self.take(1))
        self.assertFalse(self.take(2, alone=True))
        self.slots.release(make_call(1))
        self.assertTrue(self.take(2, alone=True))
        self.assertFalse(self.take(3))

    def test_others_do_not_pass_one_that_waits_to_run_alone(self) -> None:
        self.assertTrue(self.take(1))
        waiting = threading.Thread(
            target=self.take, args=[2], kwargs={"alone": True, "wait_s": 60.0}
        )
        waiting.start()
        while not self.slots.is_exclusive_awaited:
            waiting.join(0.001)
        self.assertFalse(self.take(3))
        self.slots.release(make_call(1))
        waiting.join()
        self.assertFalse(self.take(3))
