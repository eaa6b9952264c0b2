"""Bound the retries of one request over its call tree, and those of a service."""

import threading

from corianderhold.clock import Clock
from corianderhold.state.membership.model import MemberDirectory, MemberState

DAEMON_RETRY_BURST = 10.0
RETRY_WINDOW_S = 10.0  # in which the fleet makes at most its burst beyond the ratio
FIRST_RETRIES = 1.0  # of the burst, at once; a suspect's trial takes a retry


class RetryBudget:
    """The number of retries that one call and its callees may still make."""

    def __init__(self, tokens: int) -> None:
        self._lock = threading.Lock()
        self._tokens = max(0, tokens)

    @property
    def left(self) -> int:
        """Return the number of retries left."""
        return self._tokens

    def try_spend(self) -> bool:
        """Take one retry; return False if none is left."""
        with self._lock:
            if self._tokens == 0:
                return False
            self._tokens -= 1
            return True

    def split(self) -> int:
        """
        Take half of the budget, rounded up, for one attempt at a callee.

        Retries that the callee does not use are returned by `refund`; if the response
        is lost, so are they.
        """
        with self._lock:
            share = (self._tokens + 1) // 2
            self._tokens -= share
            return share

    def refund(self, tokens: int) -> None:
        """Put back the retries that a callee did not use."""
        with self._lock:
            self._tokens += max(0, tokens)


class RetryThrottle:
    """
    Limit the retries to one service to a ratio of its first attempts.

    `ratio` is retries per first attempt. Up to `burst` retries may accumulate, or the
    `burst` argument of `allow_retry` if that is lower. Before `burst_at`, in monotonic
    seconds, only FIRST_RETRIES of the burst are granted, because an earlier process of
    this daemon may just have made the others.
    """

    def __init__(
        self, ratio: float, burst: float, clock: Clock, burst_at: float
    ) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._ratio = ratio
        self._burst = burst
        self._burst_at = burst_at
        self._tokens = min(burst, FIRST_RETRIES)
        self._is_granted = False

    def record_attempt(self) -> None:
        """Record a first attempt."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._ratio)

    def allow_retry(self, burst: float = float("inf")) -> bool:
        """Take one retry; return False if the ratio is exceeded."""
        with self._lock:
            self._grant_burst()
            self._tokens = min(self._tokens, burst)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _grant_burst(self) -> None:
        if self._is_granted or self._clock.read_monotonic() < self._burst_at:
            return
        self._is_granted = True
        withheld = max(0.0, self._burst - FIRST_RETRIES)
        self._tokens = min(self._burst, self._tokens + withheld)


class FleetRetryBurst:
    """
    Divide the burst of retries that the fleet may make among its daemons.

    `total` is the number for one service; 0 gives each daemon DAEMON_RETRY_BURST.
    Members that are considered dead count as well, because they may only be partitioned
    and still retry.
    """

    def __init__(self, total: int, members: MemberDirectory) -> None:
        self._total = total
        self._members = members

    def find_share(self) -> float:
        """Return the share of this daemon, at least one retry."""
        if self._total == 0:
            return DAEMON_RETRY_BURST
        counted = sum(
            member.state is not MemberState.LEFT
            for member in self._members.list_members()
        )
        return max(1.0, self._total / max(1, counted))
