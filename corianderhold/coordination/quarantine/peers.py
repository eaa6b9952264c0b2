"""Leave out owners that do not reply to notices."""

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    PEER_FAILURES_MAX,
    PEER_PAUSE_S,
)
from corianderhold.ids import InstanceId


class PeerFailures:
    """Leave out peers that repeatedly did not reply, as those of older builds do."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[InstanceId, int] = {}
        self._paused_until: dict[InstanceId, float] = {}

    def is_paused(self, instance: InstanceId) -> bool:
        """Return whether a peer is left out for now."""
        now = self._clock.read_monotonic()
        return now < self._paused_until.get(instance, float("-inf"))

    def forget(self, instance: InstanceId) -> None:
        """Forget a peer that replied or has left."""
        self._failures.pop(instance, None)
        self._paused_until.pop(instance, None)

    def record(self, instance: InstanceId, *, replied: bool) -> None:
        """Record the outcome of a request."""
        if replied:
            self.forget(instance)
            return
        failures = self._failures.get(instance, 0) + 1
        self._failures[instance] = failures
        if failures >= PEER_FAILURES_MAX:
            self._paused_until[instance] = self._clock.read_monotonic() + PEER_PAUSE_S
