"""Enforce the placement rules for calls to the local target."""

from corianderhold.coordination.call import CallContext
from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.owner.const import DRAINING_RETRY_AFTER_MS
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.membership.locality import Locality


class PlacementGuard:
    """
    Refuse calls that must not run in the local target's locality.

    The owner checks again because the entry may have used an older configuration.
    """

    def __init__(self, rules: EligibilityRules, locality: Locality) -> None:
        self._rules = rules
        self._locality = locality

    def is_evacuated(self) -> bool:
        """Return whether the target's failure domain is evacuated."""
        return self._rules.is_evacuated(self._locality)

    def refuse(self, context: CallContext) -> Refusal | None:
        """Return the refusal of a call that must not run here, or None."""
        if self.is_evacuated():
            return refuse_not_run(Reason.DOMAIN_EVACUATED, DRAINING_RETRY_AFTER_MS)
        if not self._rules.allows_region(context, self._locality):
            return refuse_not_run(Reason.REGION_FORBIDDEN, DRAINING_RETRY_AFTER_MS)
        return None
