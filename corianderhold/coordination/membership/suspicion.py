"""Time the suspicions that have not been refuted yet."""

import math
from dataclasses import dataclass, replace

from corianderhold.coordination.membership.const import SUSPICION_MULTIPLIER
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Member, MemberState


@dataclass(frozen=True)
class Suspicion:
    """A suspected announcement and the active time at which it counts as dead."""

    member: Member
    expires_at_s: float


def compute_suspicion_timeout(members: int, health_multiplier: int) -> float:
    """Return the seconds that a member has to refute a suspicion."""
    growth = max(1.0, math.log10(max(1, members)))
    return SUSPICION_MULTIPLIER * growth * health_multiplier


class SuspicionTimers:
    """Keep one timer for each suspected announcement."""

    def __init__(self) -> None:
        self._suspicions: dict[InstanceId, Suspicion] = {}

    def update(self, member: Member, active_s: float, timeout_s: float) -> None:
        """Start a timer for a suspected member and drop that of any other."""
        if member.state is not MemberState.SUSPECT:
            self._suspicions.pop(member.instance, None)
            return
        known = self._suspicions.get(member.instance)
        if known is None or known.member != member:
            suspicion = Suspicion(member, active_s + timeout_s)
            self._suspicions[member.instance] = suspicion

    def expire(self, active_s: float) -> list[Member]:
        """Drop the suspicions that have run out and return their claims of death."""
        expired = [
            suspicion.member
            for suspicion in self._suspicions.values()
            if suspicion.expires_at_s <= active_s
        ]
        for member in expired:
            del self._suspicions[member.instance]
        return [replace(member, state=MemberState.DEAD) for member in expired]
