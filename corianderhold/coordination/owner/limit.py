"""Decide how many calls a target gets at once."""

from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    BAND_CALLS_MIN,
    BAND_MEAN_WEIGHT,
    BUSY_PART,
    COLD_LOWEST_PART,
    COLD_SPAN_S,
    FAILED_RATIO_MAX,
    FULL_PART,
    INITIAL_LIMIT,
    LIMIT_DECREASE,
    LIMIT_GROWTH,
    ROUND_CALLS,
    SLOTS_LOWEST_PART,
    SLOWER_GROWS_BELOW,
    SLOWER_SHRINKS_ABOVE,
    SLOWER_SLACK_S,
    STEADY_INCREASE,
    USEFUL_DECREASE,
    USEFUL_GAIN,
)
from corianderhold.coordination.owner.estimate import MovingMean


class ConcurrencyLimit(Protocol):
    """Give the number of calls that may be in flight at the target."""

    def read_limit(self) -> int:
        """Return the present limit, at least 1."""

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Learn from a call that ended; `in_flight` is the count before its end."""

    def note_refusal(self) -> None:
        """Learn that the target had no room for a call."""


class FixedLimit:
    """Keep the limit that the configuration names."""

    def __init__(self, limit: int) -> None:
        self._limit = max(1, limit)

    def read_limit(self) -> int:
        """Return the configured limit."""
        return self._limit

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Ignore the call."""

    def note_refusal(self) -> None:
        """Ignore the refusal."""


class SlotLimit:
    """
    Give a target as many calls as it has slots for, fewer while it is cold.

    Each refusal for want of room takes one off, down to a part of the slots; as many
    answered calls as the limit add one. Long service times alone teach nothing: calls
    never wait in the target, so that the time is its own or that of what it calls.

    A target that is slower when it is full than when it is busy gets a few less, where
    it then ends more calls a second. That is tried again when the mean of the full
    target lapses.
    """

    def __init__(self, slots: int, cold_until: float, clock: Clock) -> None:
        self._slots = max(1, slots)
        self._lowest = max(1.0, self._slots * SLOTS_LOWEST_PART)
        self._limit = float(self._slots)
        self._cold_until: float | None = cold_until
        self._clock = clock
        self._nearly_full = max(1, int(self._slots * FULL_PART))
        self._is_slower_full = False
        self._full = MovingMean(BAND_MEAN_WEIGHT, BAND_CALLS_MIN)
        self._busy = MovingMean(BAND_MEAN_WEIGHT, BAND_CALLS_MIN)

    def read_limit(self) -> int:
        """Return the present limit, at least 1."""
        limit = self._limit
        if self._is_slower_full:
            limit = min(limit, self._nearly_full)
        if self._cold_until is not None:
            limit *= self._read_warm_part(self._cold_until)
        return max(1, int(limit))

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Let the limit grow back, and compare the full target with the busy one."""
        if failed:
            return
        if self._limit < self._slots:
            self._limit = min(self._limit + 1 / self._limit, self._slots)
        now = self._clock.read_monotonic()
        if in_flight > self._nearly_full:
            self._full.note(duration_s, now)
        elif in_flight > self._slots * BUSY_PART:
            self._busy.note(duration_s, now)
        # Rates are calls by mean time; both sides are multiplied with both means.
        kept_below = self._nearly_full * self._full.read(now)
        filled = self._slots * self._busy.read(now)
        self._is_slower_full = kept_below > USEFUL_GAIN * filled > 0

    def note_refusal(self) -> None:
        """Take one call off the limit."""
        self._limit = max(self._lowest, self._limit - 1)

    def _read_warm_part(self, cold_until: float) -> float:
        left_s = cold_until - self._clock.read_monotonic()
        if left_s <= 0:
            self._cold_until = None
            return 1.0
        return 1.0 - (1.0 - COLD_LOWEST_PART) * min(1.0, left_s / COLD_SPAN_S)


class Round:
    """Collect calls that were both dispatched and ended under one limit."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.calls = 0
        self.failures = 0
        self.limit_reached = False
        self._total_s = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean service time in seconds."""
        return self._total_s / self.calls

    @property
    def is_failing(self) -> bool:
        """Return whether too many of the calls failed."""
        return self.failures > self.calls * FAILED_RATIO_MAX

    def add(self, duration_s: float, failed: bool) -> None:
        """Count one call."""
        self.calls += 1
        self.failures += failed
        self._total_s += duration_s


class AdaptiveLimit:
    """
    Find the limit from which on the target only makes calls wait.

    The limit begins low and doubles each round, then grows by one, while it is reached
    and the mean service time stays near the lowest one seen. It shrinks when the mean
    is far above that, or calls fail. Where a smaller limit brings no shorter service
    times, the target itself has become slower: the limit is restored and the new mean
    becomes the one to compare with. Callers hold a lock.
    """

    def __init__(self, maximum: int, clock: Clock) -> None:
        self._maximum = max(1, maximum)
        self._clock = clock
        self._limit = min(float(INITIAL_LIMIT), self._maximum)
        self._is_starting = True
        self._lowest_mean_s: float | None = None
        self._shrunk_from: tuple[float, float] | None = None
        self._round = Round(clock.read_monotonic())

    def read_limit(self) -> int:
        """Return the present limit."""
        return int(self._limit)

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Learn from a call that ended; `in_flight` is the count before its end."""
        now = self._clock.read_monotonic()
        if in_flight >= self.read_limit():
            self._round.limit_reached = True
        if now - duration_s < self._round.started_at:
            return
        self._round.add(duration_s, failed)
        if self._round.calls >= max(ROUND_CALLS, self.read_limit()):
            self._end_round(self._round)
            self._round = Round(now)

    def note_refusal(self) -> None:
        """Take one call off the limit."""
        self._is_starting = False
        self._limit = max(1.0, self._limit - 1)

    def _end_round(self, ended: Round) -> None:
        shrunk_from, self._shrunk_from = self._shrunk_from, None
        if not ended.is_failing:
            if shrunk_from is not None and self._restore(ended, *shrunk_from):
                return
            known_s = self._lowest_mean_s or ended.mean_s
            self._lowest_mean_s = min(known_s, ended.mean_s)
        lowest_s = self._lowest_mean_s or 0.0
        slower_s = max(0.0, ended.mean_s - SLOWER_SLACK_S)
        if ended.is_failing or slower_s > SLOWER_SHRINKS_ABOVE * lowest_s:
            self._shrink(ended)
        elif ended.limit_reached and slower_s <= SLOWER_GROWS_BELOW * lowest_s:
            self._grow()

    def _restore(self, ended: Round, limit: float, mean_s: float) -> bool:
        """
        Take a decrease back if it brought no shorter calls; return whether it did.

        Only a steady mean is taken for the target's own time. One that rises further
        says that the target is just changing, and is compared again.
        """
        if ended.mean_s <= USEFUL_DECREASE * mean_s:
            return False
        self._limit = limit
        if ended.mean_s <= STEADY_INCREASE * mean_s:
            self._lowest_mean_s = ended.mean_s
        return True

    def _shrink(self, ended: Round) -> None:
        self._is_starting = False
        if not ended.is_failing:
            self._shrunk_from = (self._limit, ended.mean_s)
        self._limit = max(1.0, self._limit * LIMIT_DECREASE)

    def _grow(self) -> None:
        grown = self._limit * LIMIT_GROWTH if self._is_starting else self._limit + 1
        self._limit = min(grown, self._maximum)
