"""Handle requests to list, begin and end evacuations of failure domains."""

from corianderhold.admin.const import PUBLISH_TIMEOUT_S
from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import evacuations_to_json
from corianderhold.admin.model import EvacuationList, EvacuationOrders
from corianderhold.admin.request import answer_errors, read_json, write_json
from corianderhold.admin.schema import EVACUATE
from corianderhold.coordination.configuration.evacuator import EvacuationOutcome
from corianderhold.ids import FailureDomainId
from corianderhold.state.membership.model import MemberDirectory

STATUS_BY_OUTCOME = {
    EvacuationOutcome.IN_FORCE: 200,
    EvacuationOutcome.UNKNOWN: 202,
    EvacuationOutcome.REFUSED: 503,
}


class EvacuationsResource:
    """Handle requests for /v1/evacuations."""

    exposed = True

    def __init__(
        self,
        orders: EvacuationOrders,
        evacuations: EvacuationList,
        members: MemberDirectory,
    ) -> None:
        self._orders = orders
        self._evacuations = evacuations
        self._members = members

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """List the evacuated failure domains."""
        listed = evacuations_to_json(self._evacuations.list_evacuations())
        return write_json(200, {"evacuations": listed})

    @answer_errors
    def POST(self) -> bytes:  # noqa: N802
        """Begin or end the evacuation of one failure domain."""
        body = read_json(EVACUATE)
        domain = FailureDomainId(body["domain"])
        self._check_domain(domain)
        outcome = self._orders.order(
            domain, body["active"], body["author"], PUBLISH_TIMEOUT_S
        )
        response_body = {
            "domain": domain,
            "active": body["active"],
            "outcome": outcome.value,
        }
        return write_json(STATUS_BY_OUTCOME[outcome], response_body)

    def _check_domain(self, domain: FailureDomainId) -> None:
        """Raise ApiError for a domain that neither has members nor is evacuated."""
        known = {each.domain for each in self._members.list_members()}
        known.update(self._evacuations.list_evacuations())
        if domain not in known:
            message = f"no daemon is known in failure domain {domain}"
            raise ApiError(
                404, ErrorCode.NOT_FOUND, message, [", ".join(sorted(known))]
            )
