"""Route keyed requests to the holder of their key's shard."""

from dataclasses import replace

from result import Err, Ok, Result

from corianderhold.coordination.call import CallContext, RequestBody, Response
from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.entry.call_locations import CallLocations
from corianderhold.coordination.entry.sender import CallSender
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.lease.ranking import accept_all
from corianderhold.coordination.once.const import (
    HOLDERS_TRIED_MAX,
    NO_HOLDER_RETRY_AFTER_MS,
)
from corianderhold.coordination.once.keeper import CallRouter, OnceKeeper
from corianderhold.coordination.once.key import find_shard, parse_idempotency_key
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, InstanceId, RegionId
from corianderhold.log import log_event
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.lease.model import ShardId
from corianderhold.state.membership.locality import Locality
from corianderhold.state.membership.model import MemberDirectory

NO_INSTANCE = InstanceId("")
# The request did not reach a holder, so another one may be tried.
NEXT_HOLDER_REASONS = frozenset({Reason.NOT_HOLDER, Reason.PEER_UNREACHABLE})


class KeyedRouter:
    """Route keyed requests through their holder, and all others directly."""

    def __init__(
        self,
        instance: InstanceId,
        keeper: OnceKeeper,
        router: CallRouter,
        sender: CallSender,
        locator: HolderLocator,
        members: MemberDirectory,
        rules: EligibilityRules,
        place: Locality,
    ) -> None:
        self._instance = instance
        self._keeper = keeper
        self._router = router
        self._sender = sender
        self._locator = locator
        self._members = members
        self._rules = rules
        self._place = place
        self._in_flight = CallLocations()

    def route(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Return the response with its body not yet read, or the final refusal."""
        if context.idempotent or context.idempotency_key is None:
            return self._router.route(
                replace(context, idempotency_key=None), body, retries
            )
        read = parse_idempotency_key(context)
        if isinstance(read, Err):
            return read
        shard = find_shard(read.ok_value)
        try:
            return self._send_to_holders(shard, context, body, retries)
        finally:
            self._in_flight.remove(context.call_id)

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call here and at the holder that it was sent to."""
        member = self._in_flight.find(call_id)
        if member is not None:
            self._sender.cancel(member.peer_address, call_id)
        self._router.cancel(call_id)

    def _send_to_holders(
        self,
        shard: ShardId,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Response, Refusal]:
        """Send to the presumed holder, then to the one that a refusal names."""
        refusal = refuse_not_run(Reason.NOT_HOLDER, NO_HOLDER_RETRY_AFTER_MS)
        for _ in range(HOLDERS_TRIED_MAX):
            located = self._locator.locate_holder(accept_all, shard)
            if located is None or body.started:
                break
            instance, _ = located
            outcome = self._send_to_holder(instance, context, body, retries)
            if isinstance(outcome, Ok):
                self._locator.record_response(shard, instance, True, NO_INSTANCE)
                return outcome
            refusal = outcome.err_value
            if refusal.reason not in NEXT_HOLDER_REASONS:
                self._locator.record_response(shard, instance, True, NO_INSTANCE)
                return outcome
            hint = NO_INSTANCE
            if refusal.reason is Reason.NOT_HOLDER:
                hint = InstanceId(refusal.detail)
            self._locator.record_response(shard, instance, False, hint)
        return Err(replace(refusal, retry_after_ms=NO_HOLDER_RETRY_AFTER_MS))

    def _send_to_holder(
        self,
        instance: InstanceId,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Response, Refusal]:
        """Send the request to one daemon that may hold the shard."""
        log_event("keyed_request_routed", call=context.call_id, holder=instance)
        if instance == self._instance:
            return self._run_here(context, body, retries)
        member = self._members.find_member(instance)
        if member is None:
            return Err(refuse_not_run(Reason.PEER_UNREACHABLE))
        if not self._rules.find(context).residency.allows(member.region):
            return refuse_forbidden_holder(context, member.region)
        self._in_flight.set_location(context.call_id, member)
        return self._sender.send(member, context, body, retries, lambda load: None)

    def _run_here(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Run a request as its holder, which records the response."""
        if not self._rules.allows_region(context, self._place):
            return refuse_forbidden_holder(context, self._place.region)
        return self._keeper.run(context, body, retries)


def refuse_forbidden_holder(
    context: CallContext, region: RegionId
) -> Result[Response, Refusal]:
    """Log and refuse a request whose response its holder may not record."""
    log_event(
        "holder_region_forbidden",
        call=context.call_id,
        organisation=context.organisation,
        route=context.route,
        region=region,
    )
    return Err(refuse_not_run(Reason.NO_TARGET, NO_HOLDER_RETRY_AFTER_MS))
