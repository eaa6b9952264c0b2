"""Decide where a call may go."""

from dataclasses import dataclass, replace

from corianderhold.coordination.call import CallContext
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.residency import (
    ANYWHERE,
    Residency,
    ResidencyIndex,
)
from corianderhold.state.membership.model import Member
from corianderhold.state.membership.place import Place


@dataclass(frozen=True, slots=True)
class Eligibility:
    """
    What an owner has to be for one call.

    Its region must be allowed, its failure domain must not be evacuated, and it must
    not have been tried. Owners that fail or are full are the chooser's to avoid: any of
    them is still better than none.
    """

    residency: Residency = ANYWHERE
    evacuated: frozenset[FailureDomainId] = frozenset()
    tried: frozenset[InstanceId] = frozenset()

    def allows(self, member: Member) -> bool:
        """Return whether the call may be sent to this owner."""
        return (
            member.instance not in self.tried
            and member.domain not in self.evacuated
            and self.residency.allows(member.region)
        )

    def exclude(self, instance: InstanceId) -> "Eligibility":
        """Return the eligibility once an owner has been tried."""
        return replace(self, tried=self.tried | {instance})


class EligibilityRules:
    """Apply the configuration in force; any thread may ask."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._index = ResidencyIndex(holder.current)
        holder.add_listener(self._follow)

    def find(self, context: CallContext) -> Eligibility:
        """Return what an owner has to be for a call that nobody has tried yet."""
        residency = self._index.find(context.route, context.organisation)
        return Eligibility(residency, self._evacuated)

    def is_evacuated(self, place: Place) -> bool:
        """Return whether the targets of a place get no calls."""
        return place.domain in self._evacuated

    def allows_region(self, context: CallContext, place: Place) -> bool:
        """Return whether a call's body may be held and its answer made at a place."""
        residency = self._index.find(context.route, context.organisation)
        return residency.allows(place.region)

    def _follow(self, configuration: Configuration) -> None:
        self._index = ResidencyIndex(configuration)
        self._evacuated = configuration.evacuated
