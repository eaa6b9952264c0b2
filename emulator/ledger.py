"""Record every call that the load generator sent."""

import json
import threading
from collections import Counter
from dataclasses import asdict, dataclass

from hdrh.histogram import HdrHistogram

from emulator.web import OK

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
WHOLE = "whole"


@dataclass(frozen=True)
class Attempt:
    """One attempt of a call; `status` is 0 if no response arrived."""

    status: int
    verdict: str
    reason: str
    sent_s: float
    retry_after_s: float

    @property
    def is_good(self) -> bool:
        """Whether the complete and correct response arrived."""
        return self.status == OK and self.verdict == WHOLE


@dataclass(frozen=True)
class Call:
    """One call; `latency_s` is measured from the time it was due."""

    request_id: str
    key: str
    path: str
    due_s: float
    latency_s: float
    attempts: tuple[Attempt, ...]


class Ledger:
    """Collect finished calls; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: list[Call] = []

    @property
    def calls(self) -> tuple[Call, ...]:
        """Return the finished calls."""
        return tuple(self._calls)

    def add(self, call: Call) -> None:
        """Record one finished call."""
        with self._lock:
            self._calls.append(call)

    def format_lines(self) -> str:
        """Return one JSON line per call."""
        return "".join(json.dumps(asdict(call)) + "\n" for call in self._calls)

    def summarize(self, seed: int, elapsed_s: float) -> str:
        """Return totals and latency percentiles of good calls as key=value pairs."""
        verdicts: Counter[str] = Counter()
        reasons: Counter[str] = Counter()
        histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        good = 0
        for call in self._calls:
            last = call.attempts[-1]
            verdicts[last.verdict] += 1
            if last.reason:
                reasons[last.reason] += 1
            if last.is_good:
                good += 1
                histogram.record_value(max(LOWEST_US, int(call.latency_s * 1e6)))
        attempts = sum(len(call.attempts) for call in self._calls)
        pairs = [f"seed={seed}", f"calls={len(self._calls)}", f"attempts={attempts}"]
        pairs.append(f"good={good}")
        pairs.extend(f"verdict_{name}={n}" for name, n in sorted(verdicts.items()))
        pairs.extend(f"reason_{name}={n}" for name, n in sorted(reasons.items()))
        for percent in PERCENTILES:
            value_ms = histogram.get_value_at_percentile(percent) / 1000
            pairs.append(f"p{percent:g}_ms={value_ms:.3f}")
        pairs.append(f"elapsed_s={elapsed_s:.2f}")
        return " ".join(pairs)
