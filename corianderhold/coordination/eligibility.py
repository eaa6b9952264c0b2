"""Decide which owners a call may be sent to."""

from dataclasses import dataclass, replace

from corianderhold.coordination.call import CallContext
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.residency import (
    UNRESTRICTED,
    Residency,
    ResidencyIndex,
)
from corianderhold.state.membership.locality import Locality
from corianderhold.state.membership.model import Member


@dataclass(frozen=True, slots=True)
class Eligibility:
    """
    The conditions that an owner must meet for one call.

    Its region must be allowed, its failure domain must not be evacuated, and it must
    not have been tried already. Failing and full owners stay eligible, because any of
    them is better than none; the load balancer avoids them.
    """

    residency: Residency = UNRESTRICTED
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
        """Return the eligibility after an owner has been tried."""
        return replace(self, tried=self.tried | {instance})


class EligibilityRules:
    """Apply the placement rules of the configuration in force; any thread may ask."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._index = ResidencyIndex(holder.current)
        holder.add_listener(self._apply_configuration)

    def find(self, context: CallContext) -> Eligibility:
        """Return the conditions on owners for a call that has not been tried yet."""
        residency = self._index.find(context.route, context.organisation)
        return Eligibility(residency, self._evacuated)

    def is_evacuated(self, locality: Locality) -> bool:
        """Return whether the failure domain of a locality is evacuated."""
        return locality.domain in self._evacuated

    def allows_region(self, context: CallContext, locality: Locality) -> bool:
        """Return whether a call's body may be stored and processed in a locality."""
        residency = self._index.find(context.route, context.organisation)
        return residency.allows(locality.region)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._index = ResidencyIndex(configuration)
        self._evacuated = configuration.evacuated
