"""Model the members of the fleet: one daemon with its target each."""

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
    """Liveness of a daemon as its peers see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class TargetState(Enum):
    """Readiness of the target beside a daemon, as that daemon announces it."""

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
    One daemon as announced to the fleet.

    `incarnation` is new for every start of the daemon; `sequence` grows with every
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


class Members(Protocol):
    """Answer which daemons may be asked to serve a call."""

    def list_owners(self, service: ServiceName) -> tuple[Member, ...]:
        """Return live members whose target serves `service`, in no order."""

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return one member, dead or left ones included."""

    def list_members(self) -> tuple[Member, ...]:
        """Return all known members, dead and left ones included."""
