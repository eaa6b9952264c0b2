"""Refuse calls that would fail because a service that they call is cold."""

import threading
from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    BREAKER_FAILURES,
    BREAKER_PROBE_INTERVAL_S,
)
from corianderhold.ids import RouteName


@dataclass
class _Streak:
    """The consecutive failures of a route, and the time of its last probe."""

    failures: int = 0
    probed_at: float = float("-inf")


class CalleeCircuitBreaker:
    """
    Open the circuit of routes that fail while the target's nested calls are refused.

    While a service deep in the call graph is cold, calls that need it would use up the
    target's time and fail. They are refused before they run, with the retry-after time
    of the nested calls, and so are safe to retry. As the calling targets fail in turn,
    the refusal propagates up to the root request. Routes of the same target without
    nested calls are not affected. One probe per interval passes on each open route, to
    detect its recovery. Any thread may ask.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._callee_cold_until = float("-inf")
        self._streaks: dict[RouteName, _Streak] = {}

    def record_callee_refusal(self, wait_s: float) -> None:
        """Record that a nested call was refused with this retry-after in seconds."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now >= self._callee_cold_until:
                self._streaks.clear()
            self._callee_cold_until = max(self._callee_cold_until, now + wait_s)

    def record_outcome(self, route: RouteName, failed: bool) -> None:
        """Record whether the local target failed or completed a call of a route."""
        if self._clock.read_monotonic() >= self._callee_cold_until:
            return
        with self._lock:
            if failed:
                self._streaks.setdefault(route, _Streak()).failures += 1
            else:
                self._streaks.pop(route, None)

    def find_retry_after(self, route: RouteName) -> float:
        """Return the retry-after of a call in seconds; 0 if it may run now."""
        now = self._clock.read_monotonic()
        if now >= self._callee_cold_until:
            return 0.0
        with self._lock:
            streak = self._streaks.get(route)
            if streak is None or streak.failures < BREAKER_FAILURES:
                return 0.0
            if now - streak.probed_at >= BREAKER_PROBE_INTERVAL_S:
                streak.probed_at = now
                return 0.0
            return self._callee_cold_until - now
