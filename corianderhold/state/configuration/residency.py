"""Determine the regions that may handle a call."""

from dataclasses import dataclass

from corianderhold.ids import OrganisationId, RegionId, RouteName
from corianderhold.state.configuration.model import Configuration


@dataclass(frozen=True, slots=True)
class Residency:
    """
    The regions whose daemons may process a call and its body.

    `regions` is None for no restriction; an empty set allows no region.
    """

    regions: frozenset[RegionId] | None = None

    def allows(self, region: RegionId) -> bool:
        """Return whether a daemon of this region may handle the call."""
        return self.regions is None or region in self.regions

    def restrict(self, regions: frozenset[RegionId]) -> "Residency":
        """Return the intersection with `regions`; an empty set restricts nothing."""
        if not regions:
            return self
        return Residency(regions if self.regions is None else self.regions & regions)


UNRESTRICTED = Residency()


class ResidencyIndex:
    """Look up the residency of the routes and organisations of a configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._routes = {
            each.name: each.regions for each in configuration.routes if each.regions
        }
        self._organisations = {
            each.name: each.regions
            for each in configuration.organisations.values()
            if each.regions
        }

    def find(self, route: RouteName, organisation: OrganisationId) -> Residency:
        """Return where a call may run; route and organisation both restrict it."""
        no_restriction: frozenset[RegionId] = frozenset()
        route_residency = UNRESTRICTED.restrict(self._routes.get(route, no_restriction))
        return route_residency.restrict(
            self._organisations.get(organisation, no_restriction)
        )
