"""Model one version of the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from corianderhold.ids import (
    FailureDomainId,
    KeyId,
    OrganisationId,
    RegionId,
    RouteName,
    ServiceName,
    Version,
)


class Importance(IntEnum):
    """How late a request is shed under overload; higher is shed later."""

    BULK = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class IsolatedBehaviour(Enum):
    """What a route does when the daemon's view of the configuration is too old."""

    SERVE = "serve"
    REFUSE = "refuse"


@dataclass(frozen=True)
class Service:
    """
    A group of targets that serve the same calls.

    `max_concurrency` bounds the limit of a target's owner; with `adaptive_limit` the
    owner learns a lower one. `max_connections` is how many connections one target
    accepts from all daemons together, or None for no known bound. A target that has
    just started is cold for `cold_s` seconds and bears `cold_rate` calls a second
    meanwhile; None stands for no known bound.
    """

    name: ServiceName
    max_concurrency: int = 64
    queue_length: int = 32
    retry_ratio: float = 0.1
    adaptive_limit: bool = True
    max_connections: int | None = None
    cold_s: float = 0.0
    cold_rate: float | None = None


@dataclass(frozen=True)
class Split:
    """One of the services that share a route's requests in proportion to `weight`."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """
    One kind of request to a service, told apart by host, method and path prefix.

    An empty `host` stands for any host, empty `methods` for any method. With `splits`
    the requests are shared between their services and `service` is empty. An
    `anonymous` route is also open to requests without a key, which run for the
    organisation "". `deadline_ms` is the longest time a request may be kept waiting,
    `target_latency_ms` the time within which an answer has its full value. `calls`
    names the routes that the service calls to answer this one. `regions` are the only
    ones whose targets may answer; an empty set names no restriction.
    """

    name: RouteName
    service: ServiceName
    path_prefix: str
    methods: frozenset[str]
    importance: Importance = Importance.NORMAL
    open_to_all: bool = True
    organisations: frozenset[OrganisationId] = frozenset()
    idempotent: bool = True
    deadline_ms: int = 2000
    retry_budget: int = 2
    isolated: IsolatedBehaviour = IsolatedBehaviour.SERVE
    isolated_after_s: float = 60.0
    calls: frozenset[RouteName] = frozenset()
    host: str = ""
    splits: tuple[Split, ...] = ()
    anonymous: bool = False
    target_latency_ms: int | None = None
    regions: frozenset[RegionId] = frozenset()

    def list_services(self) -> tuple[ServiceName, ...]:
        """Return the services that answer the route's requests."""
        if self.splits:
            return tuple(each.service for each in self.splits)
        return (self.service,)


@dataclass(frozen=True)
class Organisation:
    """
    A customer with its rate and burst over the whole fleet.

    `rate` is in root requests a second, 0 for no limit, `burst` in root requests;
    `shares` gives each failure domain's part of both, with a sum of 1. `importance`
    goes before that of the route. `regions` are the only ones whose targets may answer
    its requests; an empty set names no restriction.
    """

    name: OrganisationId
    rate: float
    burst: float
    weight: float = 1.0
    shares: Mapping[FailureDomainId, float] = field(default_factory=dict)
    importance: Importance | None = None
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True)
class ApiKey:
    """
    A caller's key, kept as a digest.

    `expires_at` is in seconds since the Unix epoch, or None for no end.
    """

    key_id: KeyId
    organisation: OrganisationId
    digest: str
    withdrawn: bool = False
    expires_at: float | None = None


@dataclass(frozen=True)
class CallerLimits:
    """
    What a caller may send, and how long it may take or keep a connection idle.

    Sizes are in bytes, times in seconds; the head of a request has its request line
    and headers.
    """

    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 2**30
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True)
class Configuration:
    """
    Everything that operators decide, at one version.

    Targets in the domains of `evacuated` get no calls. These domains change without a
    new version.
    """

    version: Version
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    organisations: Mapping[OrganisationId, Organisation] = field(default_factory=dict)
    keys: Mapping[KeyId, ApiKey] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    evacuated: frozenset[FailureDomainId] = frozenset()


EMPTY_CONFIGURATION = Configuration(Version(0))
