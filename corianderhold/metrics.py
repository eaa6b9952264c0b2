"""Collect counters, gauges and histograms for the admin listener."""

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

DURATION_MIN_US = 1
DURATION_MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True)
class HistogramSummary:
    """Percentiles of one histogram, in microseconds."""

    count: int
    percentiles_us: tuple[tuple[float, int], ...]
    highest_us: int


class Metrics:
    """Collect the counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is `read` on each request for the metrics."""
        self._gauges[name] = read

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of all gauges."""
        return {name: read() for name, read in self._gauges.items()}

    def increment(self, name: str, amount: int = 1) -> None:
        """Increment a counter by `amount`."""
        with self._lock:
            self._counters[name] += amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Record a duration in seconds in a histogram of microseconds."""
        microseconds = max(DURATION_MIN_US, min(DURATION_MAX_US, int(seconds * 1e6)))
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    DURATION_MIN_US, DURATION_MAX_US, SIGNIFICANT_DIGITS
                )
                self._histograms[name] = histogram
            histogram.record_value(microseconds)

    def read_counters(self) -> dict[str, int]:
        """Return a copy of all counters."""
        with self._lock:
            return dict(self._counters)

    def summarize_histograms(self) -> dict[str, HistogramSummary]:
        """Summarize all histograms, with the lock held for one histogram at a time."""
        return {name: self._summarize(name) for name in list(self._histograms)}

    def _summarize(self, name: str) -> HistogramSummary:
        with self._lock:
            histogram = self._histograms[name]
            return HistogramSummary(
                histogram.get_total_count(),
                tuple(
                    (percent, histogram.get_value_at_percentile(percent))
                    for percent in PERCENTILES
                ),
                histogram.get_max_value(),
            )
