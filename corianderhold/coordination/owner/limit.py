"""Concurrency limits: how many calls may be in flight at a target."""

from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    BUSY_UTILIZATION_MIN,
    COLD_START_LIMIT_RATIO_MIN,
    COLD_START_RAMP_S,
    FAILED_RATIO_MAX,
    FULL_UTILIZATION_MIN,
    INITIAL_LIMIT,
    LATENCY_IMPROVED_RATIO_MAX,
    LATENCY_RATIO_GROW_MAX,
    LATENCY_RATIO_SHRINK_MIN,
    LATENCY_STEADY_RATIO_MAX,
    LATENCY_TOLERANCE_S,
    LIMIT_DECREASE_FACTOR,
    LIMIT_SLOW_START_FACTOR,
    SAMPLE_WINDOW_CALLS_MIN,
    SLOT_LIMIT_MIN_RATIO,
    THROUGHPUT_GAIN_MIN,
    UTILIZATION_BAND_CALLS_MIN,
    UTILIZATION_BAND_EWMA_WEIGHT,
)
from corianderhold.coordination.owner.estimate import MovingAverage


class ConcurrencyLimit(Protocol):
    """Limit the number of calls in flight at the target."""

    def read_limit(self) -> int:
        """Return the current limit, at least 1."""

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        """Record a call that ended; `in_flight` includes this call."""

    def record_refusal(self) -> None:
        """Record that the target refused a call for lack of capacity."""


class FixedLimit:
    """A configured limit that does not change."""

    def __init__(self, limit: int) -> None:
        self._limit = max(1, limit)

    def read_limit(self) -> int:
        """Return the configured limit."""
        return self._limit

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        """Do nothing; the limit is fixed."""

    def record_refusal(self) -> None:
        """Do nothing; the limit is fixed."""


class SlotLimit:
    """
    Limit calls to the slots that a target announces, and to fewer while it is cold.

    Each refusal for lack of capacity lowers the limit by one, down to a minimum ratio
    of the slots; it grows back by one for as many completed calls as the limit. A long
    service time alone does not lower it: calls never queue inside the target, so the
    time is spent in the target itself or in its callees.

    A target that slows down when it is full gets slightly fewer calls if it completes
    more calls per second that way. The full limit is tried again when the average of
    the full target expires.
    """

    def __init__(self, slots: int, cold_until: float, clock: Clock) -> None:
        self._slots = max(1, slots)
        self._limit_min = max(1.0, self._slots * SLOT_LIMIT_MIN_RATIO)
        self._limit = float(self._slots)
        self._cold_until: float | None = cold_until
        self._clock = clock
        self._reduced_slots = max(1, int(self._slots * FULL_UTILIZATION_MIN))
        self._degrades_when_full = False
        self._full_mean = MovingAverage(
            UTILIZATION_BAND_EWMA_WEIGHT, UTILIZATION_BAND_CALLS_MIN
        )
        self._busy_mean = MovingAverage(
            UTILIZATION_BAND_EWMA_WEIGHT, UTILIZATION_BAND_CALLS_MIN
        )

    def read_limit(self) -> int:
        """Return the current limit, at least 1."""
        limit = self._limit
        if self._degrades_when_full:
            limit = min(limit, self._reduced_slots)
        if self._cold_until is not None:
            limit *= self._compute_ramp_ratio(self._cold_until)
        return max(1, int(limit))

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        """Let the limit grow back, and compare throughput at full and at high load."""
        if failed:
            return
        if self._limit < self._slots:
            self._limit = min(self._limit + 1 / self._limit, self._slots)
        now = self._clock.read_monotonic()
        if in_flight > self._reduced_slots:
            self._full_mean.record(duration_s, now)
        elif in_flight > self._slots * BUSY_UTILIZATION_MIN:
            self._busy_mean.record(duration_s, now)
        # Throughput is calls divided by mean time. To avoid divisions, both sides are
        # multiplied by both means.
        throughput_reduced = self._reduced_slots * self._full_mean.read(now)
        throughput_full = self._slots * self._busy_mean.read(now)
        self._degrades_when_full = (
            throughput_reduced > THROUGHPUT_GAIN_MIN * throughput_full > 0
        )

    def record_refusal(self) -> None:
        """Lower the limit by one call."""
        self._limit = max(self._limit_min, self._limit - 1)

    def _compute_ramp_ratio(self, cold_until: float) -> float:
        left_s = cold_until - self._clock.read_monotonic()
        if left_s <= 0:
            self._cold_until = None
            return 1.0
        return 1.0 - (1.0 - COLD_START_LIMIT_RATIO_MIN) * min(
            1.0, left_s / COLD_START_RAMP_S
        )


class SampleWindow:
    """Statistics of calls that were dispatched and completed under one limit."""

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
        """Return whether the ratio of failed calls is above FAILED_RATIO_MAX."""
        return self.failures > self.calls * FAILED_RATIO_MAX

    def add(self, duration_s: float, failed: bool) -> None:
        """Add one call."""
        self.calls += 1
        self.failures += failed
        self._total_s += duration_s


class AdaptiveLimit:
    """
    Find the concurrency beyond which calls only queue inside the target.

    The limit begins low and doubles with each sample window (slow start), later grows
    by one, while it is reached and the mean service time stays near the lowest one
    seen. It decreases when the mean is far above that, or when calls fail. If a lower
    limit does not shorten service times, the target itself has become slower: the
    limit is restored and the new mean becomes the baseline. Callers hold a lock.
    """

    def __init__(self, maximum: int, clock: Clock) -> None:
        self._maximum = max(1, maximum)
        self._clock = clock
        self._limit = min(float(INITIAL_LIMIT), self._maximum)
        self._in_slow_start = True
        self._lowest_mean_s: float | None = None
        self._before_decrease: tuple[float, float] | None = None
        self._window = SampleWindow(clock.read_monotonic())

    def read_limit(self) -> int:
        """Return the current limit."""
        return int(self._limit)

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        """Record a call that ended; `in_flight` includes this call."""
        now = self._clock.read_monotonic()
        if in_flight >= self.read_limit():
            self._window.limit_reached = True
        if now - duration_s < self._window.started_at:
            return
        self._window.add(duration_s, failed)
        if self._window.calls >= max(SAMPLE_WINDOW_CALLS_MIN, self.read_limit()):
            self._close_window(self._window)
            self._window = SampleWindow(now)

    def record_refusal(self) -> None:
        """Lower the limit by one call."""
        self._in_slow_start = False
        self._limit = max(1.0, self._limit - 1)

    def _close_window(self, window: SampleWindow) -> None:
        before_decrease, self._before_decrease = self._before_decrease, None
        if not window.is_failing:
            if before_decrease is not None and self._undo_decrease(
                window, *before_decrease
            ):
                return
            baseline_s = self._lowest_mean_s or window.mean_s
            self._lowest_mean_s = min(baseline_s, window.mean_s)
        lowest_s = self._lowest_mean_s or 0.0
        compared_s = max(0.0, window.mean_s - LATENCY_TOLERANCE_S)
        if window.is_failing or compared_s > LATENCY_RATIO_SHRINK_MIN * lowest_s:
            self._decrease(window)
        elif window.limit_reached and compared_s <= LATENCY_RATIO_GROW_MAX * lowest_s:
            self._increase()

    def _undo_decrease(self, window: SampleWindow, limit: float, mean_s: float) -> bool:
        """
        Undo a decrease that did not shorten service times; return whether it did so.

        Only a steady mean becomes the new baseline. A mean that still rises shows that
        the target is changing, and is compared again after the next sample window.
        """
        if window.mean_s <= LATENCY_IMPROVED_RATIO_MAX * mean_s:
            return False
        self._limit = limit
        if window.mean_s <= LATENCY_STEADY_RATIO_MAX * mean_s:
            self._lowest_mean_s = window.mean_s
        return True

    def _decrease(self, window: SampleWindow) -> None:
        self._in_slow_start = False
        if not window.is_failing:
            self._before_decrease = (self._limit, window.mean_s)
        self._limit = max(1.0, self._limit * LIMIT_DECREASE_FACTOR)

    def _increase(self) -> None:
        increased = (
            self._limit * LIMIT_SLOW_START_FACTOR
            if self._in_slow_start
            else self._limit + 1
        )
        self._limit = min(increased, self._maximum)
