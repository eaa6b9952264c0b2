"""Validate a configuration."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import fsum

from corianderhold.ids import KeyId, OrganisationId, RouteName
from corianderhold.state.configuration.const import (
    ANY_METHOD,
    MAX_LISTED_NAMES,
    SHARE_TOLERANCE,
)
from corianderhold.state.configuration.faults import EntityKind, ValidationFault
from corianderhold.state.configuration.model import (
    ApiKey,
    Configuration,
    Organisation,
    Route,
)

RoutesByName = dict[RouteName, Route]
Pattern = tuple[str, str, str]
PatternIndex = dict[Pattern, list[RouteName]]


@dataclass(frozen=True)
class ValidationScope:
    """The entities to validate."""

    routes: frozenset[RouteName]
    organisations: frozenset[OrganisationId]
    keys: frozenset[KeyId]


def list_names(names: Iterable[str]) -> str:
    """Return the names, sorted and joined, cut after MAX_LISTED_NAMES."""
    listed = sorted(names)
    if len(listed) > MAX_LISTED_NAMES:
        more = len(listed) - MAX_LISTED_NAMES
        listed = [*listed[:MAX_LISTED_NAMES], f"and {more} more"]
    return ", ".join(listed) or "nothing"


def build_full_scope(configuration: Configuration) -> ValidationScope:
    """Return a scope with all entities of a configuration."""
    return ValidationScope(
        frozenset(each.name for each in configuration.routes),
        frozenset(configuration.organisations),
        frozenset(configuration.keys),
    )


def validate_configuration(
    configuration: Configuration, scope: ValidationScope | None = None
) -> tuple[ValidationFault, ...]:
    """Return all validation faults in `scope`, by default in every entity."""
    scope = build_full_scope(configuration) if scope is None else scope
    faults: list[ValidationFault] = []
    for organisation in sorted(scope.organisations):
        faults.extend(_check_organisation(configuration.organisations[organisation]))
    if scope.routes:
        faults.extend(_check_routes(configuration, scope.routes))
    for key_id in sorted(scope.keys):
        faults.extend(_check_key(configuration, configuration.keys[key_id]))
    return tuple(faults)


def _check_organisation(organisation: Organisation) -> Iterator[ValidationFault]:
    if not (organisation.rate or organisation.shares):
        return
    total = fsum(organisation.shares.values())
    if abs(total - 1.0) > SHARE_TOLERANCE:
        yield ValidationFault(
            EntityKind.ORGANISATION,
            organisation.name,
            "shares",
            f"a sum of {total:.10g}",
            "shares of the failure domains with a sum of 1",
        )


def _check_key(configuration: Configuration, key: ApiKey) -> Iterator[ValidationFault]:
    if key.organisation not in configuration.organisations:
        yield ValidationFault(
            EntityKind.KEY,
            key.key_id,
            "organisation",
            key.organisation,
            "an organisation of this configuration",
        )


def _check_routes(
    configuration: Configuration, names: frozenset[RouteName]
) -> Iterator[ValidationFault]:
    index: RoutesByName = {each.name: each for each in configuration.routes}
    patterns = _index_patterns(configuration.routes)
    for name in sorted(names):
        route = index[name]
        yield from _check_services(configuration, route)
        yield from _check_access(configuration, route)
        yield from _check_pattern(route, patterns)
        yield from _check_callees(route, index)


def _index_patterns(routes: Iterable[Route]) -> PatternIndex:
    patterns: PatternIndex = {}
    for route in routes:
        for pattern in _list_patterns(route):
            patterns.setdefault(pattern, []).append(route.name)
    return patterns


def _list_patterns(route: Route) -> list[Pattern]:
    """Return a (host, method, path prefix) for each method that the route matches."""
    prefix = route.path_prefix.rstrip("/")
    methods = sorted(route.methods) or [ANY_METHOD]
    return [(route.host, method, prefix) for method in methods]


def _build_route_fault(
    route: Route, option: str, given: str, accepted: str
) -> ValidationFault:
    return ValidationFault(EntityKind.ROUTE, route.name, option, given, accepted)


def _check_services(
    configuration: Configuration, route: Route
) -> Iterator[ValidationFault]:
    option = "splits" if route.splits else "service"
    for name in route.list_services():
        if name not in configuration.services:
            accepted = f"one of: {list_names(configuration.services)}"
            yield _build_route_fault(route, option, name, accepted)
    if not route.splits:
        return
    if route.service:
        accepted = "nothing for a route with splits"
        yield _build_route_fault(route, "service", route.service, accepted)
    if len(set(route.list_services())) < len(route.splits):
        given = list_names(route.list_services())
        yield _build_route_fault(route, "splits", given, "each service once")
    if not any(each.weight for each in route.splits):
        accepted = "at least one weight above 0"
        yield _build_route_fault(route, "splits", "weights of 0", accepted)


def _check_access(
    configuration: Configuration, route: Route
) -> Iterator[ValidationFault]:
    organisations = configuration.organisations
    for name in sorted(route.organisations):
        if name not in organisations:
            accepted = f"some of: {list_names(organisations)}"
            yield _build_route_fault(route, "organisations", name, accepted)
    if route.open_to_all and route.organisations:
        given = list_names(route.organisations)
        accepted = "nothing for a route open to all"
        yield _build_route_fault(route, "organisations", given, accepted)
    if not route.open_to_all and not route.organisations:
        accepted = "at least one organisation, or open to all"
        yield _build_route_fault(route, "organisations", "nothing", accepted)
    if route.anonymous and not route.open_to_all:
        accepted = "no, for a route that is not open to all"
        yield _build_route_fault(route, "anonymous", "yes", accepted)


def _check_pattern(route: Route, patterns: PatternIndex) -> Iterator[ValidationFault]:
    for host, method, prefix in _list_patterns(route):
        others = [each for each in patterns[host, method, prefix] if each != route.name]
        if others:
            request = f"{method or 'any method'} {host}{route.path_prefix}"
            given = f"{request}, as route {list_names(others)}"
            accepted = "a host, method and path prefix that no other route has"
            yield _build_route_fault(route, "path_prefix", given, accepted)


def _check_callees(route: Route, index: RoutesByName) -> Iterator[ValidationFault]:
    for name in sorted(route.calls):
        callee = index.get(name)
        if callee is None:
            accepted = "names of routes of this configuration"
            yield _build_route_fault(route, "calls", name, accepted)
            continue
        if route.deadline_ms < callee.deadline_ms:
            accepted = f"at least the {callee.deadline_ms} ms of its callee {name}"
            yield _build_route_fault(
                route, "deadline_ms", str(route.deadline_ms), accepted
            )
        if route.idempotent and not callee.idempotent:
            accepted = f"no, since its callee {name} is not idempotent"
            yield _build_route_fault(route, "idempotent", "yes", accepted)
