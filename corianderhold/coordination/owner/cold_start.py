"""Limit the rate of calls to a target that has just started."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import COLD_START_BURST
from corianderhold.state.membership.target import TargetStatus


class ColdStartLimiter:
    """
    Limit a cold target to its service's rate by a token bucket.

    Targets that have just started, above all when a whole failure domain comes back at
    once, crash above that rate and start cold again. A call without a token must be
    refused at once, not queued. Each refused call gets the time of another future
    token as its retry-after, so that retries arrive spread out.

    The bucket of a cold target starts empty, so that a daemon that restarts beside it
    does not grant the same tokens twice. A target is cold until the time that its last
    heartbeat gave; one that is assumed to be cold, until a newer heartbeat. Callers
    hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float | None = None
        self._cold_until = float("-inf")
        self._assumed_cold_at = float("-inf")
        self._heartbeat_at = float("-inf")
        self._was_cold = False
        self._tokens = 0.0
        self._tokens_updated_at = 0.0
        self._reserved_until = float("-inf")

    def configure(self, rate: float | None) -> None:
        """Set the rate in calls per second; None sets no limit."""
        self._rate = rate

    def update_target(self, target: TargetStatus) -> None:
        """Apply the target's newest heartbeat."""
        self._cold_until = target.cold_until
        self._heartbeat_at = target.last_heartbeat_at

    def assume_cold(self) -> None:
        """Treat the target as cold until its next heartbeat."""
        self._assumed_cold_at = self._clock.read_monotonic()

    def is_cold(self) -> bool:
        """Return whether the rate limit applies now."""
        if not self._rate:
            return False
        now = self._clock.read_monotonic()
        is_cold = now < self._cold_until or self._assumed_cold_at > self._heartbeat_at
        if is_cold and not self._was_cold:
            self._tokens = 0.0
            self._tokens_updated_at = self._reserved_until = now
        self._was_cold = is_cold
        return is_cold

    def try_acquire(self) -> bool:
        """Take a token; return False if none is available."""
        if not self.is_cold():
            return True
        assert self._rate is not None
        now = self._clock.read_monotonic()
        refilled = self._tokens + (now - self._tokens_updated_at) * self._rate
        self._tokens = min(COLD_START_BURST, refilled)
        self._tokens_updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def reserve_retry(self) -> float:
        """Reserve a token for a refused call; return its retry-after in seconds."""
        assert self._rate is not None
        now = self._clock.read_monotonic()
        self._reserved_until = max(self._reserved_until, now) + 1 / self._rate
        return self.read_retry_after()

    def read_retry_after(self) -> float:
        """Return the seconds until a token that is not reserved for a refused call."""
        if not self.is_cold():
            return 0.0
        now = self._clock.read_monotonic()
        wait_s = max(0.0, self._reserved_until - now)
        if self._assumed_cold_at > self._heartbeat_at:
            return wait_s
        return min(wait_s, self._cold_until - now)
