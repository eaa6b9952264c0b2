"""Run calls that may crash their target one at a time."""

import threading
from collections.abc import Callable

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    TRIAL_WAIT_MAX_S,
    TRIALS_WAITING_MAX,
)


class TrialSlot:
    """Admit one suspect at a time, so that a crash shows which call caused it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._is_taken = False
        self._waiting = 0

    def acquire(self, not_before: float, deadline_at: float) -> bool:
        """
        Take the slot; return False if it is not free in time.

        It is not taken before `not_before`. Both times are in monotonic seconds.
        """
        with self._changed:
            if self._waiting >= TRIALS_WAITING_MAX:
                return False
            self._waiting += 1
            try:
                return self._await_turn(not_before, deadline_at)
            finally:
                self._waiting -= 1

    def release(self) -> None:
        """Return the slot."""
        with self._changed:
            self._is_taken = False
            self._changed.notify()

    def _await_turn(self, not_before: float, deadline_at: float) -> bool:
        limit_at = min(deadline_at, self._clock.read_monotonic() + TRIAL_WAIT_MAX_S)
        while True:
            now = self._clock.read_monotonic()
            if now >= limit_at:
                return False
            if not self._is_taken and now >= not_before:
                self._is_taken = True
                return True
            until = limit_at if self._is_taken else min(limit_at, not_before)
            self._changed.wait(until - now)


class Trial:
    """A trial that holds the slot until it ends; it ends once."""

    def __init__(self, slot: TrialSlot, on_passed: Callable[[], None]) -> None:
        self._slot = slot
        self._on_passed: Callable[[], None] | None = on_passed

    def end(self, *, passed: bool) -> None:
        """Release the slot; a trial that passed clears its call."""
        on_passed, self._on_passed = self._on_passed, None
        if on_passed is None:
            return
        if passed:
            on_passed()
        self._slot.release()
