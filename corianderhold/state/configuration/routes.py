"""Match requests to routes by host, method and longest path prefix."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.const import ANY_HOST, ANY_METHOD
from corianderhold.state.configuration.model import Configuration, Route
from corianderhold.state.configuration.paths import (
    encode_target,
    normalise_host,
    normalise_path,
)


class PathMatching(Enum):
    """
    How the path of a request is compared with the prefixes of routes.

    CANONICAL compares whole segments of the normalised path and refuses paths that
    targets might interpret differently. LITERAL compares the characters as the caller
    sent them with those of the prefix, including percent encoding, empty segments and
    dot segments.
    """

    CANONICAL = "canonical"
    LITERAL = "literal"


@dataclass(frozen=True)
class RouteMatch:
    """
    A route and the path to forward, as sent by the caller.

    With PathMatching.CANONICAL, route prefixes contain no percent encoding, so a target
    that decodes paths sees the path that was matched, and for a target that does not,
    an encoded path can't belong to another route.
    """

    route: Route
    path: str


class RouteIndex:
    """
    Immutable index of the routes of one version.

    Routes for the host of the request take precedence over those for any host. Among
    these the longest prefix wins, then a route for the method of the request over one
    for any method.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        matching: PathMatching = PathMatching.CANONICAL,
    ) -> None:
        self._is_literal = matching is PathMatching.LITERAL
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        build: Callable[[Iterable[Route]], _HostIndex] = _HostRoutes
        if self._is_literal:
            build = _LiteralHostRoutes
        self._by_host = {host: build(each) for host, each in by_host.items()}
        self._for_any_host = self._by_host.get(ANY_HOST)

    def find(self, host: str, method: str, raw_path: str) -> Result[RouteMatch, Reason]:
        """
        Return the matching route, or the reason why there is none.

        `host` is the Host header, `raw_path` the path without its query.
        """
        path = raw_path
        if not self._is_literal:
            normalised = normalise_path(raw_path)
            if isinstance(normalised, Err):
                return normalised
            path = normalised.ok_value
        route = None
        host_routes = self._by_host.get(host) or self._by_host.get(normalise_host(host))
        if host_routes is not None:
            route = host_routes.find(method, path)
        if route is None and self._for_any_host is not None:
            route = self._for_any_host.find(method, path)
        if route is None:
            return Err(Reason.ROUTE_UNKNOWN)
        return Ok(RouteMatch(route, raw_path))


class _HostIndex(Protocol):
    """Find the route of one host for a method and a path."""

    def find(self, method: str, path: str) -> Route | None:
        """Return the route that matches, or None."""


class _HostRoutes:
    """
    Index of the routes of one host, with one look-up per path segment.

    A prefix matches whole segments: /search matches /search and /search/new but not
    /searching, and /search/ matches only paths below it.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefix = route.path_prefix.rstrip("/")
            by_method = self._by_prefix.setdefault(prefix, {})
            for method in route.methods or (ANY_METHOD,):
                by_method[method] = route
        self._longest = max(map(len, self._by_prefix), default=0)

    def find(self, method: str, path: str) -> Route | None:
        """Return the route that matches a canonical path, or None."""
        prefix = self._truncate(path)
        while True:
            by_method = self._by_prefix.get(prefix)
            if by_method is not None:
                for each in (method, ANY_METHOD):
                    route = by_method.get(each)
                    if route is not None and _has_required_slash(route, prefix, path):
                        return route
            if not prefix:
                return None
            prefix = prefix[: prefix.rindex("/")]

    def _truncate(self, path: str) -> str:
        """Return the leading segments, at most as long as the longest known prefix."""
        if len(path) <= self._longest:
            return path.rstrip("/")
        return path[: path.rindex("/", 0, self._longest + 1)]


class _LiteralHostRoutes:
    """
    Index of the routes of one host, with one look-up per length of a prefix.

    A prefix with characters that can't stand in a request line also matches as its
    percent-encoded form.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix: dict[str, dict[str, Route]] = {}
        for route in routes:
            for prefix in {route.path_prefix, encode_target(route.path_prefix)}:
                by_method = self._by_prefix.setdefault(prefix, {})
                for method in route.methods or (ANY_METHOD,):
                    by_method[method] = route
        self._lengths = sorted({len(each) for each in self._by_prefix}, reverse=True)

    def find(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path, or None."""
        for length in self._lengths:
            by_method = self._by_prefix.get(path[:length])
            if by_method is None:
                continue
            route = by_method.get(method) or by_method.get(ANY_METHOD)
            if route is not None:
                return route
        return None


def _has_required_slash(route: Route, prefix: str, path: str) -> bool:
    """Return whether a path has the trailing slash that the route may require."""
    return len(path) > len(prefix) or not route.path_prefix.endswith("/")


def build_route_index(
    configuration: Configuration, matching: PathMatching = PathMatching.CANONICAL
) -> RouteIndex:
    """Build the index of the routes of a configuration."""
    return RouteIndex(configuration.routes, matching)


def may_use_route(route: Route, organisation: OrganisationId) -> bool:
    """Return whether an organisation may use a route."""
    return route.open_to_all or organisation in route.organisations
