"""Model the validated settings of one daemon."""

from dataclasses import dataclass, field

from corianderhold.ids import FailureDomainId, InstanceId, RegionId, ServiceName
from corianderhold.state.membership.model import Address


@dataclass(frozen=True)
class Listeners:
    """
    The listen addresses of a daemon and its HTTP thread counts.

    `peer_advertised` is the address at which other daemons reach the peer listener.
    `outgoing`, `announce` and `readiness` are None if the deployment does not use them.
    """

    caller: Address
    outgoing: Address | None
    peer: Address
    peer_advertised: Address
    gossip: Address
    admin: Address
    announce: Address | None
    readiness: Address | None
    caller_threads: int
    outgoing_threads: int


@dataclass(frozen=True)
class StopTimes:
    """
    Bound the duration of a planned stop.

    The process exits within `limit_s` seconds. During the first
    `deregistration_delay_s` seconds it still accepts new calls, because callers learn
    of the stop only through the readiness check.
    """

    limit_s: float
    deregistration_delay_s: float


@dataclass(frozen=True)
class Settings:
    """
    The complete settings of one daemon.

    - `target_ttl_s`: validity of a heartbeat of the local target, in seconds.
    - `retention_s`: how long the log keeps a record, in seconds.
    - `entry_slots`: maximum number of daemons that run at the same time in this
      failure domain, used to divide the rates into fixed slices. None divides them by
      the number of known members; 0 uses loans instead of slices.
    - `rate_slack`, `rate_overage`, `rate_lowering_delay_s`: apply to slices only. The
      fleet may admit `rate_slack` requests of an organisation beyond its burst and the
      fraction `rate_overage` beyond its rate. It may use an old rate or burst for up
      to `rate_lowering_delay_s` seconds after a version that lowers it was accepted.
    - `retry_burst`: maximum number of retries to a service that the whole fleet may
      accumulate; 0 gives each daemon a burst of its own.
    - `domains`: all failure domains of the fleet, if the deployment's configuration
      does not divide the rates itself.
    - `fleet_secret`: empty if peers are trusted by their network.
    - `admin_token`: empty if the administration API answers reads only.
    """

    instance: InstanceId
    domain: FailureDomainId
    region: RegionId
    listeners: Listeners
    service: ServiceName | None
    target_ttl_s: float
    store: Address
    retention_s: float
    seeds: tuple[Address, ...]
    entry_slots: int | None
    rate_slack: int
    rate_overage: float
    retry_burst: int
    rate_lowering_delay_s: float
    domains: tuple[FailureDomainId, ...]
    fleet_secret: bytes = field(repr=False)
    admin_token: str = field(repr=False)
    stop: StopTimes
    log_level: str = "info"
