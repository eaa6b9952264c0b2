"""Model the members of the fleet; each is a daemon with its target."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
)


class MemberState(Enum):
    """Liveness of a daemon as seen by its peers."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class TargetState(Enum):
    """State of the local target of a daemon, as announced by the daemon."""

    ABSENT = "absent"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Member:
    """
    The announcement of one daemon to the fleet.

    `incarnation` is new for each start of the daemon; `sequence` increases with each
    announcement of that incarnation.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    domain: FailureDomainId
    region: RegionId
    peer_address: Address
    gossip_address: Address
    service: ServiceName | None
    target_state: TargetState
    state: MemberState = MemberState.ALIVE


class MemberDirectory(Protocol):
    """Look up the members of the fleet."""

    def list_owners(self, service: ServiceName) -> tuple[Member, ...]:
        """Return live members whose target serves `service`, in no particular order."""

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return a member, which may be dead or have left, or None."""

    def list_members(self) -> tuple[Member, ...]:
        """Return all known members, including those that are dead or have left."""
