"""Model the checked settings of one daemon."""

from dataclasses import dataclass, field

from corianderhold.ids import FailureDomainId, InstanceId, RegionId, ServiceName
from corianderhold.state.membership.model import Address


@dataclass(frozen=True)
class Listeners:
    """The addresses that a daemon listens on, and its HTTP thread counts."""

    caller: Address
    outgoing: Address
    peer: Address
    gossip: Address
    admin: Address
    caller_threads: int
    outgoing_threads: int


@dataclass(frozen=True)
class Settings:
    """Everything that one daemon is told at its start."""

    instance: InstanceId
    domain: FailureDomainId
    region: RegionId
    listeners: Listeners
    service: ServiceName | None
    store: Address
    seeds: tuple[Address, ...]
    fleet_secret: bytes = field(repr=False)
    admin_token: str = field(repr=False)
    log_level: str = "info"
