"""Divide an organisation's rate and burst between the entries of the fleet."""

from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    COUNT_SETTLE_LIMIT_S,
    COUNT_SETTLE_S,
    DEAD_COUNTED_S,
)
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.configuration.model import Organisation
from corianderhold.state.membership.model import Members, MemberState

LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Division(Protocol):
    """Say which part of an organisation's rate and burst one entry holds."""

    def refresh(self) -> bool:
        """Look again at what the division depends on; return whether it changed."""

    def is_settled(self) -> bool:
        """Return whether the parts are known, as of the last refresh."""

    def find_part(self, organisation: Organisation) -> float:
        """Return the part from 0 to 1 that this entry holds now."""


class FixedSlots:
    """
    Divide each failure domain's share by the number of its entry slots.

    `entry_slots` is the highest number of daemons that ever run at once in the
    domain, as the operator sets it. The parts never add up to more than the whole.
    """

    def __init__(self, domain: FailureDomainId, entry_slots: int) -> None:
        self._domain = domain
        self._entry_slots = entry_slots

    def refresh(self) -> bool:
        """Depend on nothing that changes."""
        return False

    def is_settled(self) -> bool:
        """Know the parts from the start."""
        return True

    def find_part(self, organisation: Organisation) -> float:
        """Return 1/`entry_slots` of the domain's share."""
        return organisation.shares.get(self._domain, 0.0) / self._entry_slots


class CountedMembers:
    """
    Divide the whole by the number of members that this daemon knows.

    One that is taken for dead counts for DEAD_COUNTED_S: it may be cut off and admit.
    Nothing is held before the count of a daemon that started has settled. While two
    daemons count differently, the parts may add up to more than the whole.
    """

    def __init__(self, instance: InstanceId, members: Members, clock: Clock) -> None:
        self._instance = instance
        self._members = members
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._grew_at = self._started_at
        self._seen_at: dict[InstanceId, float] = {}
        self._settled = False

    def refresh(self) -> bool:
        """Count the members that may admit requests; return whether it changed."""
        now = self._clock.read_monotonic()
        before, was_settled = len(self._seen_at), self._settled
        for member in self._members.list_members():
            if member.state in LIVE_STATES:
                self._seen_at[member.instance] = now
            elif member.state is MemberState.LEFT:
                self._seen_at.pop(member.instance, None)
            else:
                self._seen_at.setdefault(member.instance, now)
        self._seen_at[self._instance] = now
        for instance, seen_at in list(self._seen_at.items()):
            if now - seen_at >= DEAD_COUNTED_S:
                del self._seen_at[instance]
        if len(self._seen_at) > before:
            self._grew_at = now
        self._settled = self._settled or self._counts_all(now)
        return len(self._seen_at) != before or self._settled != was_settled

    def is_settled(self) -> bool:
        """Return whether the count has settled once, COUNT_SETTLE_LIMIT_S at most."""
        return self._settled

    def find_part(self, organisation: Organisation) -> float:
        """Return an equal part for each member, 0 before the count has settled."""
        return 1 / len(self._seen_at) if self._settled else 0.0

    def _counts_all(self, now: float) -> bool:
        """Whether others are known and no more were found for a time."""
        if len(self._seen_at) > 1 and now - self._grew_at >= COUNT_SETTLE_S:
            return True
        return now - self._started_at >= COUNT_SETTLE_LIMIT_S
