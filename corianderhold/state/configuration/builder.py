"""Build a configuration that another system has accepted."""

from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from corianderhold.ids import (
    KeyId,
    OrganisationId,
    RegionId,
    RouteName,
    ServiceName,
    Version,
)
from corianderhold.state.configuration.const import (
    MAX_BODY_BYTES,
    MAX_BURST,
    MAX_CALLER_TIMEOUT_S,
    MAX_COLD_S,
    MAX_CONCURRENCY,
    MAX_CONNECTIONS,
    MAX_COUNTED_DEADLINE_MS,
    MAX_COUNTED_RETRY_BUDGET,
    MAX_COUNTED_SPLIT_WEIGHT,
    MAX_FAULT_TEXT_LENGTH,
    MAX_RATE_PER_S,
    MIN_CALLER_TIMEOUT_S,
    MIN_COUNTED_RATE_PER_S,
)
from corianderhold.state.configuration.faults import EntityKind, ValidationFault
from corianderhold.state.configuration.model import (
    ApiKey,
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    Service,
    TrafficSplit,
)
from corianderhold.state.configuration.paths import is_health_path
from corianderhold.state.keys.issue import build_opaque_key

T = TypeVar("T")
Number = int | float
MILLISECONDS = 1000
LONG_INTEGER_BITS = 64
ENDLESS_MS = 2**63
# What reading a value of an unexpected type or size may raise.
BUILD_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class EntityError(ValueError):
    """A value of an entity has no meaning in this program."""


class ConfigurationBuilder:
    """
    Collect entities and fit their values to what this program can represent.

    The configuration has been accepted where it comes from, so no value is refused for
    its size or its characters: a number out of range is replaced by the nearest one. An
    entity with a value that has no meaning is left out, and the others hold. The result
    depends on the entities alone, so all daemons come to the same configuration.
    `faults` lists what is not in force as it was given.
    """

    def __init__(self) -> None:
        self.faults: list[ValidationFault] = []
        self._services: dict[ServiceName, Service] = {}
        self._routes: list[Route] = []
        self._organisations: dict[OrganisationId, Organisation] = {}
        self._keys: dict[KeyId, ApiKey] = {}
        self._limits = CallerLimits()
        self._health_paths: dict[ServiceName, str] = {}

    def add_service(
        self, name: object, build: Callable[[], Service], health_path: object = None
    ) -> None:
        """Add the service that `build` returns; `name` is for the fault."""
        service = self._build(EntityKind.SERVICE, name, build, self._fit_service)
        if service is None:
            return
        self._services[service.name] = service
        if is_health_path(health_path):
            self._health_paths[service.name] = read_text(health_path)
        elif health_path is not None:
            accepted = "a path from /; the service has no health check"
            given = repr(health_path)
            self._add_fault(EntityKind.SERVICE, name, "health_path", given, accepted)

    def add_route(self, name: object, build: Callable[[], Route]) -> None:
        """Add the route that `build` returns; `name` is for the fault."""
        route = self._build(EntityKind.ROUTE, name, build, self._fit_route)
        if route is not None:
            self._routes.append(route)

    def add_organisation(
        self, name: object, build: Callable[[], Organisation], keys: object = ()
    ) -> None:
        """Add the organisation that `build` returns, with the texts of its API keys."""
        organisation = self._build(
            EntityKind.ORGANISATION, name, build, self._fit_organisation
        )
        if organisation is None:
            return
        self._organisations[organisation.name] = organisation
        if not isinstance(keys, list | tuple):
            self._add_fault(
                EntityKind.KEY, name, "entry", type(keys).__name__, "a list"
            )
            return
        for text in keys:
            if not isinstance(text, str):
                given = type(text).__name__
                self._add_fault(EntityKind.KEY, name, "entry", given, "a text")
                continue
            key = build_opaque_key(replace_surrogates(text), organisation.name)
            self._keys[key.key_id] = key

    def set_limits(self, build: Callable[[], CallerLimits]) -> None:
        """Set the limits on callers that `build` returns."""
        name = EntityKind.LIMITS.value
        limits = self._build(EntityKind.LIMITS, name, build, self._fit_limits)
        if limits is not None:
            self._limits = limits

    def build(self, version: object) -> Configuration:
        """Return the configuration; raise ValueError for a version that is no count."""
        return Configuration(
            version=read_version(version),
            services=self._services,
            routes=tuple(self._routes),
            organisations=self._organisations,
            keys=self._keys,
            limits=self._limits,
            health_paths=self._health_paths,
            faults=tuple(self.faults),
        )

    def _build(
        self,
        kind: EntityKind,
        name: object,
        build: Callable[[], T],
        fit: Callable[[T], T],
    ) -> T | None:
        """Return the fitted entity, or None if a value has no meaning."""
        try:
            return fit(build())
        except BUILD_ERRORS as error:
            given = f"{type(error).__name__}: {error}"
            self._add_fault(kind, name, "entry", given, "known fields and types")
            return None

    def _add_fault(
        self, kind: EntityKind, name: object, option: str, given: str, accepted: str
    ) -> None:
        shown = replace_surrogates(name) if isinstance(name, str) else repr(name)
        fault = ValidationFault(
            kind,
            shown[:MAX_FAULT_TEXT_LENGTH],
            option,
            given[:MAX_FAULT_TEXT_LENGTH],
            accepted,
        )
        self.faults.append(fault)

    def _fit_service(self, service: Service) -> Service:
        fitted = _Fit(self._add_fault, EntityKind.SERVICE, service.name)
        return replace(
            service,
            name=ServiceName(read_name(service.name)),
            max_concurrency=fitted.read_integer(
                "max_concurrency", service.max_concurrency, 1, MAX_CONCURRENCY
            ),
            max_connections=fitted.read_optional_integer(
                "max_connections", service.max_connections, 1, MAX_CONNECTIONS
            ),
            cold_s=fitted.read_number("cold_s", service.cold_s, 0.0, MAX_COLD_S),
            cold_rate=None
            if service.cold_rate is None
            else fitted.read_number(
                "cold_rate", service.cold_rate, 0.0, MAX_RATE_PER_S
            ),
        )

    def _fit_route(self, route: Route) -> Route:
        fitted = _Fit(self._add_fault, EntityKind.ROUTE, route.name)
        return replace(
            route,
            name=RouteName(read_name(route.name)),
            service=ServiceName(read_text(route.service)),
            host=read_text(route.host),
            path_prefix=read_name(route.path_prefix),
            idempotent=read_boolean(route.idempotent),
            anonymous=read_boolean(route.anonymous),
            deadline_ms=fitted.read_integer(
                "deadline_ms", route.deadline_ms, 1, MAX_COUNTED_DEADLINE_MS
            ),
            target_latency_ms=fitted.read_optional_integer(
                "target_latency_ms", route.target_latency_ms, 1, MAX_COUNTED_DEADLINE_MS
            ),
            retry_budget=fitted.read_integer(
                "retry_budget", route.retry_budget, 0, MAX_COUNTED_RETRY_BUDGET
            ),
            splits=fitted.read_splits(route.splits),
            regions=read_regions(route.regions),
        )

    def _fit_organisation(self, organisation: Organisation) -> Organisation:
        fitted = _Fit(self._add_fault, EntityKind.ORGANISATION, organisation.name)
        return replace(
            organisation,
            name=OrganisationId(read_name(organisation.name)),
            rate=fitted.read_rate("rate", organisation.rate, MAX_RATE_PER_S),
            burst=fitted.read_number("burst", organisation.burst, 0.0, MAX_BURST),
            regions=read_regions(organisation.regions),
        )

    def _fit_limits(self, limits: CallerLimits) -> CallerLimits:
        fitted = _Fit(self._add_fault, EntityKind.LIMITS, EntityKind.LIMITS.value)
        return CallerLimits(
            header_bytes_max=fitted.read_integer(
                "header_bytes_max", limits.header_bytes_max, 0, MAX_BODY_BYTES
            ),
            body_bytes_max=fitted.read_integer(
                "body_bytes_max", limits.body_bytes_max, 0, MAX_BODY_BYTES
            ),
            header_timeout_s=fitted.read_number(
                "header_timeout_s",
                limits.header_timeout_s,
                MIN_CALLER_TIMEOUT_S,
                MAX_CALLER_TIMEOUT_S,
            ),
            idle_timeout_s=fitted.read_number(
                "idle_timeout_s",
                limits.idle_timeout_s,
                MIN_CALLER_TIMEOUT_S,
                MAX_CALLER_TIMEOUT_S,
            ),
        )


class _Fit:
    """Read the numbers of one entity and report those that were out of range."""

    def __init__(
        self,
        add_fault: Callable[[EntityKind, object, str, str, str], None],
        kind: EntityKind,
        name: str,
    ) -> None:
        self._add_fault = add_fault
        self._kind = kind
        self._name = name

    def read_number(
        self, option: str, value: object, lowest: float, highest: float
    ) -> float:
        """Return a number within bounds; raise EntityError if it is none."""
        return float(self._read(option, value, lowest, highest))

    def read_integer(
        self, option: str, value: object, lowest: int, highest: int
    ) -> int:
        """Return an integer within bounds; raise EntityError for no number."""
        nearest = self._read(option, value, lowest, highest)
        return max(lowest, round(nearest))

    def read_optional_integer(
        self, option: str, value: object, lowest: int, highest: int
    ) -> int | None:
        """Return an integer within bounds, or None for None."""
        return (
            None if value is None else self.read_integer(option, value, lowest, highest)
        )

    def read_rate(self, option: str, value: object, highest: float) -> float:
        """
        Return a rate; 0 stands for no limit.

        A rate below 0 allows nothing, so it must not become 0.
        """
        if require_number(value) == 0:
            return 0.0
        return self.read_number(option, value, MIN_COUNTED_RATE_PER_S, highest)

    def read_splits(self, splits: tuple[TrafficSplit, ...]) -> tuple[TrafficSplit, ...]:
        """Return the parts; without any weight above 0 they get equal ones."""
        fitted = tuple(
            TrafficSplit(
                ServiceName(read_name(each.service)),
                self.read_number("weight", each.weight, 0.0, MAX_COUNTED_SPLIT_WEIGHT),
            )
            for each in splits
        )
        if not fitted or any(each.weight for each in fitted):
            return fitted
        accepted = "a weight above 0; used 1 for each"
        self._add_fault(self._kind, self._name, "splits", "weights of 0", accepted)
        return tuple(replace(each, weight=1.0) for each in fitted)

    def _read(
        self, option: str, value: object, lowest: Number, highest: Number
    ) -> Number:
        number = require_number(value)
        nearest = max(lowest, min(highest, number))
        if nearest != number:
            accepted = f"{lowest:g} to {highest:g}; used {nearest:g}"
            given = f"{number:.6g}" if isinstance(number, float) else shorten(number)
            self._add_fault(self._kind, self._name, option, given, accepted)
        return nearest


def shorten(number: int) -> str:
    """Return an integer as text, or its length in bits if that is long."""
    bits = number.bit_length()
    return str(number) if bits <= LONG_INTEGER_BITS else f"an integer of {bits} bits"


def read_version(value: object) -> Version:
    """Return a version; raise ValueError if it is not an integer from 0."""
    number = require_number(value)
    if number < 0 or (isinstance(number, float) and not number.is_integer()):
        raise EntityError(f"version {number:.6g} is not an integer from 0")
    return Version(int(number))


def require_number(value: object) -> Number:
    """Return a number unchanged; raise EntityError for other values and NaN."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise EntityError(f"expected a number, got {type(value).__name__}")
    if value != value:  # noqa: PLR0124
        raise EntityError("expected a number, got NaN")
    return value


def convert_to_ms(seconds: object) -> int:
    """Return seconds as milliseconds; raise EntityError if they are no number."""
    milliseconds = require_number(seconds) * MILLISECONDS
    return round(max(-ENDLESS_MS, min(ENDLESS_MS, milliseconds)))


def read_boolean(value: object) -> bool:
    """Return a Boolean unchanged; raise EntityError for other values."""
    if not isinstance(value, bool):
        raise EntityError(f"expected true or false, got {type(value).__name__}")
    return value


def read_text(value: object) -> str:
    """Return a text without lone surrogates; raise EntityError for other values."""
    if not isinstance(value, str):
        raise EntityError(f"expected a text, got {type(value).__name__}")
    return replace_surrogates(value)


def read_name(value: object) -> str:
    """Return a text that is not empty; raise EntityError for other values."""
    text = read_text(value)
    if not text:
        raise EntityError("expected a text, got an empty one")
    return text


def read_regions(regions: frozenset[RegionId]) -> frozenset[RegionId]:
    """Return the names of regions; raise EntityError for other values."""
    return frozenset(RegionId(read_text(each)) for each in regions)


def replace_surrogates(text: str) -> str:
    """
    Return a text with lone surrogates written as their escapes.

    JSON can state them (RFC 8259, section 8.2), but no encoding can carry them.
    """
    if text.isascii():
        return text
    return text.encode(errors="backslashreplace").decode()
