"""Remember what targets say of themselves, to tell it to their owners."""

from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.coordination.entry.const import NOTICE_LIFETIME_S
from corianderhold.ids import InstanceId
from corianderhold.protocol.peer.messages import TargetNotice


@dataclass(frozen=True, slots=True)
class KnownNotice:
    """A notice and when it was received, in monotonic seconds."""

    notice: TargetNotice
    received_at: float


class KnownNotices:
    """
    Keep the last notice that each owner reported with a response.

    An owner that restarts knows nothing of its target until the next response. Until
    then the calls themselves tell it, so that callers to whom a notice was passed on
    cause no call that contradicts it. Any thread may call.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[InstanceId, KnownNotice] = {}
        self._left_until: dict[InstanceId, float] = {}

    def find(self, owner: InstanceId) -> TargetNotice | None:
        """Return what is known of the target of an owner, or None."""
        known = self._known.get(owner)
        if known is None:
            return None
        if self._clock.read_monotonic() - known.received_at > NOTICE_LIFETIME_S:
            self._known.pop(owner, None)
            return None
        return known.notice

    def record(
        self, owner: InstanceId, notice: TargetNotice | None, started_at: float
    ) -> None:
        """
        Record what came with the response to a call that was sent at `started_at`.

        A response without a notice removes only what was known before its call.
        """
        if notice is not None and notice.target:
            received_at = self._clock.read_monotonic()
            self._known[owner] = KnownNotice(notice, received_at)
            return
        known = self._known.get(owner)
        if known is not None and known.received_at < started_at:
            self._known.pop(owner, None)

    def exclude(self, owner: InstanceId) -> None:
        """
        Send an owner no more calls, because its target leaves and it can't be told.

        It runs an older build, which does not know of notices.
        """
        expires_at = self._clock.read_monotonic() + NOTICE_LIFETIME_S
        self._left_until = {**self._left_until, owner: expires_at}

    def list_excluded(self) -> frozenset[InstanceId]:
        """Return the owners that must get no calls."""
        if not self._left_until:
            return frozenset()
        now = self._clock.read_monotonic()
        return frozenset(
            owner for owner, expires_at in self._left_until.items() if now < expires_at
        )
