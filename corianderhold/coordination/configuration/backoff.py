"""Delay the polls of the log after failed ones."""

from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    ANTI_ENTROPY_JITTER,
    EXTRA_POLL_BACKOFF_LIMIT_S,
    POLL_BACKOFF_LIMIT_S,
    POLL_EARLY_RETRIES_MAX,
    POLL_INTERVAL_S,
    POLL_RETRY_S,
)


class PollBackoff:
    """
    Decide when to poll the log again, and whether it may hold the poll.

    A read that the log holds on a silent connection returns only at its time-out.
    Therefore the first read after a start or a failure is not held.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._backoff_s = POLL_INTERVAL_S
        self._failed_at = float("-inf")
        self._due_at = float("-inf")
        self._early_retries = 0
        self.failures = 0
        self.may_hold = False

    def record_success(self) -> None:
        """Record that the log responded."""
        self.failures = 0
        self._early_retries = 0
        self._due_at = float("-inf")
        self.may_hold = True

    def record_failure(self, is_domain_poller: bool) -> None:
        """Record a failed poll; the daemons that poll for their domain retry sooner."""
        self.failures += 1
        self.may_hold = False
        if self.failures == 1:
            self._backoff_s = POLL_RETRY_S
        else:
            limit_s = EXTRA_POLL_BACKOFF_LIMIT_S
            if is_domain_poller:
                limit_s = POLL_BACKOFF_LIMIT_S
            longer_s = max(POLL_INTERVAL_S, 2 * self._backoff_s)
            self._backoff_s = min(limit_s, longer_s)
        jitter = 1 + ANTI_ENTROPY_JITTER * self._random.random()
        self._failed_at = self._clock.read_monotonic()
        self._due_at = self._failed_at + self._backoff_s * jitter

    def find_wait_s(self, verified_at: float) -> float:
        """
        Return the seconds until the next poll.

        `verified_at` is the monotonic time at which the view was last complete, in
        seconds. If a peer has read the log since the last failure, the log is back.
        """
        now = self._clock.read_monotonic()
        if (
            verified_at > self._failed_at
            and now < self._due_at
            and self._early_retries < POLL_EARLY_RETRIES_MAX
        ):
            self._early_retries += 1
            self._due_at = now
        return max(0.0, self._due_at - now)
