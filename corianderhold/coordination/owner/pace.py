"""Hold a cold target to the calls a second that it bears."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import PACE_BURST
from corianderhold.state.membership.target import TargetStatus


class TargetPace:
    """
    Hand out turns to a target that is cold, at the rate that its service names.

    Answers the load that meets targets which have just started, above all when a whole
    domain comes back at once: above their rate they fall over and come back cold again.
    A call without a turn is to be refused at once, not queued; it is told a later turn,
    so that those refused come back one after the other.

    The turns of a cold target begin with none saved up, so that a daemon that restarts
    beside it gives none twice. A target is cold until the time that its last heartbeat
    named; one that is suspected, until a heartbeat that is newer than the suspicion.
    Callers hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float | None = None
        self._cold_until = float("-inf")
        self._suspected_at = float("-inf")
        self._heard_at = float("-inf")
        self._was_cold = False
        self._turns = 0.0
        self._counted_at = 0.0
        self._promised_at = float("-inf")

    def configure(self, rate: float | None) -> None:
        """Take over a rate in calls a second; None holds no target back."""
        self._rate = rate

    def follow(self, target: TargetStatus) -> None:
        """Take over what the target's newest heartbeat says."""
        self._cold_until = target.cold_until
        self._heard_at = target.heard_at

    def suspect(self) -> None:
        """Hold the target for cold until its next heartbeat."""
        self._suspected_at = self._clock.read_monotonic()

    def is_cold(self) -> bool:
        """Return whether the target is held back now."""
        if not self._rate:
            return False
        now = self._clock.read_monotonic()
        is_cold = now < self._cold_until or self._suspected_at > self._heard_at
        if is_cold and not self._was_cold:
            self._turns = 0.0
            self._counted_at = self._promised_at = now
        self._was_cold = is_cold
        return is_cold

    def take_turn(self) -> bool:
        """Use a turn; return False when none has come yet."""
        if not self.is_cold():
            return True
        assert self._rate is not None
        now = self._clock.read_monotonic()
        grown = self._turns + (now - self._counted_at) * self._rate
        self._turns = min(PACE_BURST, grown)
        self._counted_at = now
        if self._turns < 1:
            return False
        self._turns -= 1
        return True

    def promise_turn(self) -> float:
        """Return in how many seconds a call that was refused is to come back."""
        assert self._rate is not None
        now = self._clock.read_monotonic()
        self._promised_at = max(self._promised_at, now) + 1 / self._rate
        return self.read_wait()

    def read_wait(self) -> float:
        """Return in how many seconds there is a turn that nobody was promised."""
        if not self.is_cold():
            return 0.0
        now = self._clock.read_monotonic()
        wait_s = max(0.0, self._promised_at - now)
        if self._suspected_at > self._heard_at:
            return wait_s
        return min(wait_s, self._cold_until - now)
