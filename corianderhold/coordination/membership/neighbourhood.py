"""Partition the live members by failure domain."""

from dataclasses import dataclass, field

from corianderhold.coordination.membership.broadcasts import (
    TransmissionLimits,
    compute_transmission_limits,
)
from corianderhold.ids import FailureDomainId
from corianderhold.state.membership.model import Address, Member
from corianderhold.state.membership.table import MemberView


@dataclass(frozen=True)
class Neighbourhood:
    """
    Live members other than this daemon.

    `near` are in its failure domain, `far` in others. `limits` bounds how often updates
    are sent to them.
    """

    near: list[Member]
    far: dict[FailureDomainId, list[Member]]
    limits: TransmissionLimits
    near_addresses: frozenset[Address] = field(default_factory=frozenset)


def divide(view: MemberView, own: Member) -> Neighbourhood:
    """Partition the live members of a view for a daemon."""
    near: list[Member] = []
    far: dict[FailureDomainId, list[Member]] = {}
    for member in view.live:
        if member.instance == own.instance:
            continue
        if member.domain == own.domain:
            near.append(member)
        else:
            far.setdefault(member.domain, []).append(member)
    limits = compute_transmission_limits(len(near) + 1, len(far))
    addresses = frozenset(member.gossip_address for member in near)
    return Neighbourhood(near, far, limits, addresses)


class NeighbourhoodCache:
    """Cache the neighbourhood of the latest view."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._view: MemberView | None = None
        self._neighbourhood = divide(MemberView(), own)

    def read(self, view: MemberView) -> Neighbourhood:
        """Return the neighbourhood in a view."""
        if view is not self._view:
            self._neighbourhood = divide(view, self._own)
            self._view = view
        return self._neighbourhood
