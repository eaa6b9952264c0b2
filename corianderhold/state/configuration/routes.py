"""Find the route of a request by method and longest path prefix."""

from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.model import Configuration, Route
from corianderhold.state.configuration.paths import normalise_path


@dataclass(frozen=True)
class RouteMatch:
    """A route and the canonical path, the only one that may be sent on."""

    route: Route
    path: str


class RouteIndex:
    """
    Look up the routes of one version; never changed once built.

    A prefix covers whole segments: /search covers /search/new but not /searching.
    Methods are looked up apart, so the longest prefix is among routes that have the
    request's method.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_method: dict[str, dict[str, Route]] = {}
        for route in routes:
            for method in route.methods:
                prefixes = self._by_method.setdefault(method, {})
                prefixes[route.path_prefix.rstrip("/")] = route
        self._longest = max(
            (len(prefix) for each in self._by_method.values() for prefix in each),
            default=0,
        )

    def find(self, method: str, raw_path: str) -> Result[RouteMatch, Reason]:
        """Return the match of a path given without its query, or why there is none."""
        normalised = normalise_path(raw_path)
        if isinstance(normalised, Err):
            return normalised
        path = normalised.ok_value
        prefixes = self._by_method.get(method)
        if prefixes is None:
            return Err(Reason.ROUTE_UNKNOWN)
        prefix = self._cut(path)
        while prefix not in prefixes:
            if not prefix:
                return Err(Reason.ROUTE_UNKNOWN)
            prefix = prefix[: prefix.rindex("/")]
        return Ok(RouteMatch(prefixes[prefix], path))

    def _cut(self, path: str) -> str:
        """Return the whole segments of a path that a known prefix can have."""
        if len(path) <= self._longest:
            return path.rstrip("/")
        return path[: path.rindex("/", 0, self._longest + 1)]


def build_route_index(configuration: Configuration) -> RouteIndex:
    """Return the index of a configuration's routes."""
    return RouteIndex(configuration.routes)


def may_use(route: Route, organisation: OrganisationId) -> bool:
    """Whether a route is open to an organisation."""
    return route.open_to_all or organisation in route.organisations
