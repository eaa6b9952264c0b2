"""Refuse calls that fail because a service that they call is cold."""

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
    """The failed calls of a route since the last one that was answered well."""

    failures: int = 0
    probed_at: float = float("-inf")


class CalleeBreaker:
    """
    Know which routes of the local target fail while its own calls are refused.

    Answers the load on a fleet whose deepest service is cold: a call that needs it
    would use the target's time and fail. Refused before it runs, with the time that
    the target's calls were told, it may be sent again; and as the callers' targets
    fail in turn, the refusal climbs to the root. Routes of the same target that call
    nobody go on. One call of a route passes at an interval, to learn whether it is
    answered again. Any thread may ask.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._short_until = float("-inf")
        self._streaks: dict[RouteName, _Streak] = {}

    def note_callee_refused(self, wait_s: float) -> None:
        """Note that a call of the local target was told to come back in `wait_s`."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now >= self._short_until:
                self._streaks.clear()
            self._short_until = max(self._short_until, now + wait_s)

    def note_end(self, route: RouteName, failed: bool) -> None:
        """Note that the local target answered a call, with its own failure or not."""
        if self._clock.read_monotonic() >= self._short_until:
            return
        with self._lock:
            if failed:
                self._streaks.setdefault(route, _Streak()).failures += 1
            else:
                self._streaks.pop(route, None)

    def find_wait(self, route: RouteName) -> float:
        """Return in how many seconds a call is to come back; 0 if it may run now."""
        now = self._clock.read_monotonic()
        if now >= self._short_until:
            return 0.0
        with self._lock:
            streak = self._streaks.get(route)
            if streak is None or streak.failures < BREAKER_FAILURES:
                return 0.0
            if now - streak.probed_at >= BREAKER_PROBE_INTERVAL_S:
                streak.probed_at = now
                return 0.0
            return self._short_until - now
