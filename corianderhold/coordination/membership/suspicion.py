"""Manage timers for suspicions that have not been refuted yet."""

import math
from dataclasses import dataclass, replace

from corianderhold.coordination.membership.const import SUSPICION_MULTIPLIER
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Member, MemberState


@dataclass(frozen=True)
class Suspicion:
    """Suspected announcement and the active time at which it is declared dead."""

    member: Member
    expires_at_s: float


def compute_suspicion_timeout(members: int, health_multiplier: int) -> float:
    """Return the time that a member has to refute a suspicion, in seconds."""
    log_factor = max(1.0, math.log10(max(1, members)))
    return SUSPICION_MULTIPLIER * log_factor * health_multiplier


class SuspicionTimers:
    """Keep a timer for each suspected announcement."""

    def __init__(self) -> None:
        self._suspicions: dict[InstanceId, Suspicion] = {}

    def update(self, member: Member, active_s: float, timeout_s: float) -> None:
        """Start the timer of a suspected member, or cancel it in any other state."""
        if member.state is not MemberState.SUSPECT:
            self._suspicions.pop(member.instance, None)
            return
        known = self._suspicions.get(member.instance)
        if known is None or known.member != member:
            suspicion = Suspicion(member, active_s + timeout_s)
            self._suspicions[member.instance] = suspicion

    def expire(self, active_s: float) -> list[Member]:
        """Remove expired suspicions and return their members as dead."""
        expired = [
            suspicion.member
            for suspicion in self._suspicions.values()
            if suspicion.expires_at_s <= active_s
        ]
        for member in expired:
            del self._suspicions[member.instance]
        return [replace(member, state=MemberState.DEAD) for member in expired]
