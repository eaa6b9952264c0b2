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
from corianderhold.state.configuration.faults import ValidationFault


class Importance(IntEnum):
    """Priority of a request under overload; lower values are shed first."""

    BULK = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class IsolatedBehaviour(Enum):
    """Policy of a route while the daemon's view of the configuration is stale."""

    SERVE = "serve"
    REFUSE = "refuse"


@dataclass(frozen=True)
class Service:
    """
    A group of targets that serve the same calls.

    `max_concurrency` bounds the concurrency limit of a target's owner; with
    `adaptive_limit` the owner adapts a lower limit. `max_connections` is the number of
    connections that one target accepts from all daemons together, or None if no bound
    is known. A target that has just started is cold for `cold_s` seconds and handles
    `cold_rate` calls per second during that time, or None if no bound is known.
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
class TrafficSplit:
    """A service that gets a share of a route's requests in proportion to `weight`."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """
    A route to a service, matched by host, method and path prefix.

    An empty `host` matches any host, empty `methods` match any method. With `splits`,
    the requests are distributed over their services and `service` is empty. An
    `anonymous` route also accepts requests without a key, which run on behalf of the
    organisation "". `deadline_ms` is the maximum duration of a request,
    `target_latency_ms` the latency up to which a response has its full value. `calls`
    names the routes that the service calls to handle a request. `regions` are the
    regions whose targets may respond; an empty set means no restriction.
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
    splits: tuple[TrafficSplit, ...] = ()
    anonymous: bool = False
    target_latency_ms: int | None = None
    regions: frozenset[RegionId] = frozenset()

    def list_services(self) -> tuple[ServiceName, ...]:
        """Return the services that handle the route's requests."""
        if self.splits:
            return tuple(each.service for each in self.splits)
        return (self.service,)


@dataclass(frozen=True)
class Organisation:
    """
    A customer with its rate limit and burst across the whole fleet.

    `rate` is in root requests per second, 0 for no limit; `burst` is in root requests.
    `shares` maps failure domains to their fractions of both, with a sum of 1.
    `importance` takes precedence over that of the route. `regions` are the regions
    whose targets may handle its requests; an empty set means no restriction.
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
    An API key of a caller, stored as a digest.

    `expires_at` is in seconds since the Unix epoch, or None if the key never expires.
    """

    key_id: KeyId
    organisation: OrganisationId
    digest: str
    withdrawn: bool = False
    expires_at: float | None = None


@dataclass(frozen=True)
class CallerLimits:
    """
    Size limits of requests and timeouts of connections from callers.

    Sizes are in bytes, times in seconds. The header size includes the request line.
    """

    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 2**30
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True)
class Configuration:
    """
    One version of everything that operators configure.

    Targets in the failure domains of `evacuated` receive no calls. The evacuated
    domains change without a new version. `health_paths` has the path of the health
    check of each service whose targets have one. `faults` lists what is not in force as
    its author gave it. Neither is part of the digest.
    """

    version: Version
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    organisations: Mapping[OrganisationId, Organisation] = field(default_factory=dict)
    keys: Mapping[KeyId, ApiKey] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    evacuated: frozenset[FailureDomainId] = frozenset()
    health_paths: Mapping[ServiceName, str] = field(default_factory=dict)
    faults: tuple[ValidationFault, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether this stands for having no configuration yet."""
        return not (self.version or self.routes or self.services or self.organisations)


EMPTY_CONFIGURATION = Configuration(Version(0))
