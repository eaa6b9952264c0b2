"""Find the route of a request by host, method and longest path prefix."""

from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.const import ANY_HOST, ANY_METHOD
from corianderhold.state.configuration.model import Configuration, Route
from corianderhold.state.configuration.paths import normalise_host, normalise_path


@dataclass(frozen=True)
class RouteMatch:
    """
    A route and the path to send on, as the caller wrote it.

    The route was found by the canonical path. Its prefix has no escapes, so a target
    that decodes escapes reads the path that was matched, and to one that doesn't an
    escaped path names nothing that another route is for.
    """

    route: Route
    path: str


class RouteIndex:
    """
    Look up the routes of one version; never changed once built.

    The routes of a request's host go before those for any host. Among them the
    longest prefix wins, and then a route for the request's method goes before one for
    any method.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        self._by_host = {host: _HostRoutes(each) for host, each in by_host.items()}
        self._for_any_host = self._by_host.get(ANY_HOST)

    def find(self, host: str, method: str, raw_path: str) -> Result[RouteMatch, Reason]:
        """
        Return the match of a request, or why there is none.

        `host` is the Host header, `raw_path` the path without its query.
        """
        normalised = normalise_path(raw_path)
        if isinstance(normalised, Err):
            return normalised
        path = normalised.ok_value
        route = None
        own = self._by_host.get(host) or self._by_host.get(normalise_host(host))
        if own is not None:
            route = own.find(method, path)
        if route is None and self._for_any_host is not None:
            route = self._for_any_host.find(method, path)
        if route is None:
            return Err(Reason.ROUTE_UNKNOWN)
        return Ok(RouteMatch(route, raw_path))


class _HostRoutes:
    """
    Look up the routes of one host, with one probe for each segment of a path.

    A prefix covers whole segments: /search covers /search and /search/new but not
    /searching, and /search/ covers only what is below it.
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
        """Return the route of a request with a canonical path, or None."""
        prefix = self._cut(path)
        while True:
            by_method = self._by_prefix.get(prefix)
            if by_method is not None:
                for each in (method, ANY_METHOD):
                    route = by_method.get(each)
                    if route is not None and _begins(route, prefix, path):
                        return route
            if not prefix:
                return None
            prefix = prefix[: prefix.rindex("/")]

    def _cut(self, path: str) -> str:
        """Return the whole segments of a path that a known prefix can have."""
        if len(path) <= self._longest:
            return path.rstrip("/")
        return path[: path.rindex("/", 0, self._longest + 1)]


def _begins(route: Route, prefix: str, path: str) -> bool:
    """Whether a path has the slash that may end the route's prefix."""
    return len(path) > len(prefix) or not route.path_prefix.endswith("/")


def build_route_index(configuration: Configuration) -> RouteIndex:
    """Return the index of a configuration's routes."""
    return RouteIndex(configuration.routes)


def may_use(route: Route, organisation: OrganisationId) -> bool:
    """Whether a route is open to an organisation."""
    return route.open_to_all or organisation in route.organisations
