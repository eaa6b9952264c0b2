"""Run calls that may crash their target, a few at a time or alone."""

import threading
from collections.abc import Callable

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    TRIAL_WAIT_MAX_S,
    TRIALS_AT_ONCE,
    TRIALS_WAITING_MAX,
)
from corianderhold.ids import Fingerprint


class TrialSlots:
    """
    Admit suspects to the target, so that a crash shows which of them may cause it.

    Different suspects of one crash run a few at a time, those of several crashes alone.
    While one of the latter waits, no other one is admitted.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._running: set[Fingerprint] = set()
        self._is_exclusive = False
        self._waiting = 0
        self._waiting_alone = 0

    @property
    def is_exclusive_awaited(self) -> bool:
        """Return whether a call waits to run alone."""
        return self._waiting_alone > 0

    def acquire(
        self,
        fingerprint: Fingerprint,
        find_earliest: Callable[[], float],
        deadline_at: float,
        is_alone: Callable[[], bool],
    ) -> bool:
        """
        Take a slot; return False if none is free in time.

        It is not taken before the time that `find_earliest` returns, which a further
        crash postpones. Then `is_alone` is asked whether the call has to run alone.
        Times are in monotonic seconds.
        """
        limit_at = min(deadline_at, self._clock.read_monotonic() + TRIAL_WAIT_MAX_S)
        with self._changed:
            if self._waiting >= TRIALS_WAITING_MAX:
                return False
            self._waiting += 1
            try:
                if not self._await_earliest(find_earliest, limit_at):
                    return False
                return self._take(fingerprint, limit_at, alone=is_alone())
            finally:
                self._waiting -= 1

    def release(self, fingerprint: Fingerprint) -> None:
        """Return the slot of a call."""
        with self._changed:
            self._running.discard(fingerprint)
            self._is_exclusive = False
            self._changed.notify_all()

    def _await_earliest(
        self, find_earliest: Callable[[], float], limit_at: float
    ) -> bool:
        while (earliest := find_earliest()) > self._clock.read_monotonic():
            if earliest > limit_at:
                return False
            self._await(lambda: False, earliest)
        return True

    def _take(self, fingerprint: Fingerprint, limit_at: float, *, alone: bool) -> bool:
        self._waiting_alone += alone
        try:
            if not self._await(lambda: self._is_free(fingerprint, alone), limit_at):
                return False
            self._running.add(fingerprint)
            self._is_exclusive = alone
            return True
        finally:
            self._waiting_alone -= alone
            self._changed.notify_all()

    def _await(self, condition: Callable[[], bool], until: float) -> bool:
        """Wait for a condition until a monotonic time; return whether it holds."""
        while not condition():
            left_s = until - self._clock.read_monotonic()
            if left_s <= 0:
                return False
            self._changed.wait(left_s)
        return True

    def _is_free(self, fingerprint: Fingerprint, alone: bool) -> bool:
        if alone:
            return not self._running
        if self._is_exclusive or self.is_exclusive_awaited:
            return False
        return len(self._running) < TRIALS_AT_ONCE and fingerprint not in self._running


class Trial:
    """A trial that holds its slot until it ends; it ends once."""

    def __init__(
        self,
        slots: TrialSlots,
        fingerprint: Fingerprint,
        on_passed: Callable[[], None],
    ) -> None:
        self._slots = slots
        self._fingerprint = fingerprint
        self._on_passed: Callable[[], None] | None = on_passed

    def end(self, *, passed: bool) -> None:
        """Release the slot; a trial that passed clears its call."""
        on_passed, self._on_passed = self._on_passed, None
        if on_passed is None:
            return
        if passed:
            on_passed()
        self._slots.release(self._fingerprint)
