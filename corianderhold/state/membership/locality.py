"""Determine how far members are from a daemon in the network topology."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from corianderhold.ids import FailureDomainId, InstanceId, RegionId
from corianderhold.state.membership.model import Address, Member


class Distance(Enum):
    """Distance of a member from a daemon, in ascending order."""

    SELF = "self"
    DOMAIN = "domain"
    REGION = "region"
    ELSEWHERE = "elsewhere"


@dataclass(frozen=True)
class Locality:
    """Instance, failure domain and region of a daemon."""

    instance: InstanceId
    domain: FailureDomainId
    region: RegionId

    def measure_distance(self, member: Member) -> Distance:
        """Return the distance to a member."""
        if member.instance == self.instance:
            return Distance.SELF
        if member.domain == self.domain:
            return Distance.DOMAIN
        if member.region == self.region:
            return Distance.REGION
        return Distance.ELSEWHERE


class AddressMap:
    """
    Look up members by peer or gossip address; thread-safe.

    The map is rebuilt only if the list of members is a different object, so look-ups
    in an unchanged view cost no rebuild.
    """

    def __init__(self, list_members: Callable[[], tuple[Member, ...]]) -> None:
        self._list_members = list_members
        self._members: tuple[Member, ...] = ()
        self._by_address: dict[Address, Member] = {}

    def find(self, address: Address) -> Member | None:
        """Return the member at an address, or None if it is unknown."""
        members = self._list_members()
        if members is not self._members:
            by_address = {member.gossip_address: member for member in members}
            by_address |= {member.peer_address: member for member in members}
            self._by_address = by_address
            self._members = members
        return self._by_address.get(address)
