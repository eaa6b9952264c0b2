"""Bound the retries of one request over its whole chain, and of a service."""

import threading

from corianderhold.state.membership.model import Members, MemberState

DAEMON_BURST = 10.0


class RetryBudget:
    """Count the retries that one call and its callees may still make."""

    def __init__(self, tokens: int) -> None:
        self._lock = threading.Lock()
        self._tokens = max(0, tokens)

    @property
    def left(self) -> int:
        """Return the retries left."""
        return self._tokens

    def take_one(self) -> bool:
        """Spend one retry; return False when none is left."""
        with self._lock:
            if self._tokens == 0:
                return False
            self._tokens -= 1
            return True

    def split(self) -> int:
        """
        Take out half of the budget, rounded up, for one attempt at a callee.

        What the callee does not use comes back by `give_back`; a lost answer gives
        nothing back.
        """
        with self._lock:
            part = (self._tokens + 1) // 2
            self._tokens -= part
            return part

    def give_back(self, tokens: int) -> None:
        """Return the retries that a callee did not use."""
        with self._lock:
            self._tokens += max(0, tokens)


class RetryThrottle:
    """
    Hold the retries to one service at a ratio of its first attempts.

    `ratio` is retries per first attempt; up to `burst` retries may be saved up, or as
    many as `allow_retry` is told if that is fewer.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._lock = threading.Lock()
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def note_attempt(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._ratio)

    def allow_retry(self, burst: float = float("inf")) -> bool:
        """Spend one retry; return False when there are too many."""
        with self._lock:
            self._tokens = min(self._tokens, burst)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class FleetBurst:
    """
    Divide the retries that the fleet may save up among its daemons.

    `total` is the number for one service; 0 lets each daemon save up DAEMON_BURST.
    Members that are taken for dead count too, since they may be cut off and retry.
    """

    def __init__(self, total: int, members: Members) -> None:
        self._total = total
        self._members = members

    def find_part(self) -> float:
        """Return the part of this daemon: one retry at least."""
        if self._total == 0:
            return DAEMON_BURST
        counted = sum(
            member.state is not MemberState.LEFT
            for member in self._members.list_members()
        )
        return max(1.0, self._total / max(1, counted))
