"""Limit the calls per second to a target that names a limit."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    RATE_LIMIT_BURST_MIN,
    RATE_LIMIT_BURST_S,
    RATE_LIMIT_MIN,
    RATE_LIMIT_RESERVE_RATIO,
    RATE_LIMIT_RESERVE_S,
)
from corianderhold.state.configuration.model import Importance


class TargetRateLimiter:
    """
    Limit calls by a token bucket whose last tokens are reserved by importance.

    A call leaves a part of the bucket to each level of more important calls that came
    lately. So these come first although no call waits for a token, and without them
    nothing is held back. The bucket starts empty, so that a daemon that restarts beside
    a target does not grant the same tokens twice. Callers hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float | None = None
        self._tokens = 0.0
        self._updated_at = float("-inf")
        self._seen_at = dict.fromkeys(Importance, float("-inf"))

    def set_rate(self, rate: float | None) -> None:
        """
        Set the limit in calls per second; None ends it.

        A limit near zero still lets a few calls through, because only their responses
        can tell that it has ended.
        """
        if rate is None:
            self._rate = None
            return
        if self._rate is None:
            self._tokens = 0.0
            self._updated_at = self._clock.read_monotonic()
        else:
            self._refill()
        self._rate = max(rate, RATE_LIMIT_MIN)
        self._tokens = min(self._tokens, self._read_burst())

    def is_limited(self) -> bool:
        """Return whether a limit is in force."""
        return self._rate is not None

    def try_acquire(self, importance: int) -> bool:
        """Take a token; return False if none is left for this importance."""
        if self._rate is None:
            return True
        self._refill()
        level = Importance(max(Importance.BULK, min(importance, Importance.CRITICAL)))
        self._seen_at[level] = self._updated_at
        if self._tokens < self._find_threshold(importance):
            return False
        self._tokens -= 1
        return True

    def find_wait(self) -> float:
        """Return the seconds until the next token for the most important calls."""
        if self._rate is None:
            return 0.0
        self._refill()
        return max(0.0, (1 - self._tokens) / self._rate)

    def find_shed_level(self) -> int:
        """Return the importance below which no token is left now; 0 for none."""
        if self._rate is None:
            return 0
        self._refill()
        for importance in Importance:
            if self._tokens >= self._find_threshold(importance):
                return int(importance)
        return int(Importance.CRITICAL)

    def _refill(self) -> None:
        assert self._rate is not None
        now = self._clock.read_monotonic()
        refilled = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(self._read_burst(), refilled)
        self._updated_at = now

    def _read_burst(self) -> float:
        assert self._rate is not None
        return max(RATE_LIMIT_BURST_MIN, self._rate * RATE_LIMIT_BURST_S)

    def _find_threshold(self, importance: int) -> float:
        """Return the tokens that must be there for a call of this importance."""
        assert self._rate is not None
        levels = len(Importance) - 1
        reserved = (self._read_burst() - 1) * RATE_LIMIT_RESERVE_RATIO / levels
        lifetime_s = max(RATE_LIMIT_RESERVE_S, 2 / self._rate)
        recent = sum(
            level > importance and self._updated_at - seen_at <= lifetime_s
            for level, seen_at in self._seen_at.items()
        )
        return 1 + max(1.0, reserved) * recent
