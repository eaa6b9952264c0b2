"""Find the regions that may handle a call."""

from dataclasses import dataclass

from corianderhold.ids import OrganisationId, RegionId, RouteName
from corianderhold.state.configuration.model import Configuration


@dataclass(frozen=True, slots=True)
class Residency:
    """
    The only regions whose daemons may hold a call's body and answer it.

    `regions` is None where there is no restriction; an empty set allows no region.
    """

    regions: frozenset[RegionId] | None = None

    def allows(self, region: RegionId) -> bool:
        """Return whether a daemon of this region may handle the call."""
        return self.regions is None or region in self.regions

    def restrict(self, regions: frozenset[RegionId]) -> "Residency":
        """Return what is left under another restriction; an empty set is none."""
        if not regions:
            return self
        return Residency(regions if self.regions is None else self.regions & regions)


ANYWHERE = Residency()


class ResidencyIndex:
    """Find the residency of each route and organisation of one configuration."""

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
        """Return where a call may be handled: both its restrictions bind."""
        nothing: frozenset[RegionId] = frozenset()
        by_route = ANYWHERE.restrict(self._routes.get(route, nothing))
        return by_route.restrict(self._organisations.get(organisation, nothing))
