"""Route a call to an owner, with retries within its budget."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, RequestBody, Response
from corianderhold.coordination.eligibility import Eligibility, EligibilityRules
from corianderhold.coordination.entry.call_locations import CallLocations
from corianderhold.coordination.entry.const import (
    NO_TARGET_RETRY_AFTER_MS,
    OVERLOAD_RETRY_AFTER_MS,
    REROUTES_MAX,
)
from corianderhold.coordination.entry.load_balancer import (
    AttemptOutcome,
    Choice,
    LoadBalancer,
)
from corianderhold.coordination.entry.notices import KnownNotices
from corianderhold.coordination.entry.sender import CallSender
from corianderhold.coordination.owner.headers import find_header
from corianderhold.coordination.owner.notices import LEAVING_VALUE
from corianderhold.coordination.owner.owner import CallOwner
from corianderhold.coordination.quarantine.hints import QuarantineHints
from corianderhold.coordination.retry import (
    RETRY_WINDOW_S,
    FleetRetryBurst,
    RetryBudget,
    RetryThrottle,
)
from corianderhold.ids import CallId, InstanceId, ServiceName
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.protocol.verdict import Reason, Refusal, RunState, refuse_not_run
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import Member, MemberDirectory
from corianderhold.state.quarantine.model import Suspicion

# Refusals that depend on the owner, so that another owner may accept the call.
RETRYABLE_NOT_RUN_REASONS = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.TARGET_UNREACHABLE,
        Reason.INCARNATION_STALE,
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.DOMAIN_EVACUATED,
        Reason.REGION_FORBIDDEN,
        Reason.QUEUE_FULL,
        Reason.TARGET_COLD,
        Reason.TARGET_LIMITED,
        Reason.TARGET_FULL,
        Reason.TARGET_MISMATCH,
        Reason.TRIAL_REQUIRED,
    }
)
# Reported to callers as NO_TARGET; only the log has the actual reason.
PLACEMENT_REASONS = frozenset({Reason.DOMAIN_EVACUATED, Reason.REGION_FORBIDDEN})
# The owner has not contacted its target, so trying the next one is not a retry.
REROUTE_REASONS = frozenset(
    {
        Reason.DOMAIN_EVACUATED,
        Reason.REGION_FORBIDDEN,
        Reason.TARGET_COLD,
        Reason.TARGET_LIMITED,
        Reason.TRIAL_REQUIRED,
    }
)
RETRYABLE_MAY_HAVE_RUN_REASONS = frozenset(
    {Reason.PEER_SILENT, Reason.ANSWER_TRUNCATED, Reason.TARGET_CRASHED}
)
OWNER_FAILURE_REASONS = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.PEER_SILENT,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_SILENT,
        Reason.ANSWER_TRUNCATED,
        Reason.NO_TARGET,
        Reason.TARGET_CRASHED,
    }
)


@dataclass(frozen=True)
class Attempt:
    """
    One attempt at a call.

    `number` counts from 0, `eligibility` excludes the owners that were already tried,
    and `refusal` is that of the previous attempt. With `in_trial`, only the owner that
    tries calls that may crash their target is used.
    """

    eligibility: Eligibility
    number: int = 0
    refusal: Refusal | None = None
    in_trial: bool = False


class Router:
    """Choose an owner for each call, send the call, and retry where that is safe."""

    def __init__(
        self,
        instance: InstanceId,
        members: MemberDirectory,
        holder: ConfigurationHolder,
        load_balancer: LoadBalancer,
        rules: EligibilityRules,
        owner: CallOwner,
        sender: CallSender,
        clock: Clock,
        metrics: Metrics,
        burst: FleetRetryBurst,
        hints: QuarantineHints,
        names: HeaderNames | None = None,
    ) -> None:
        self._hints = hints
        self._instance = instance
        self._members = members
        self._holder = holder
        self._load_balancer = load_balancer
        self._rules = rules
        self._owner = owner
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._burst = burst
        self._names = names or HeaderNames()
        self._in_flight = CallLocations()
        self._notices = KnownNotices(clock)
        self._burst_at = clock.read_monotonic() + RETRY_WINDOW_S
        self._throttles: dict[ServiceName, RetryThrottle] = {}

    def route(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """
        Return the response as soon as it begins, or the final refusal.

        The call can be cancelled until its refusal or the end of its response.
        """
        self._in_flight.add(context.call_id)
        try:
            outcome = self._try_owners(context, body, retries)
        except BaseException:
            self._in_flight.remove(context.call_id)
            raise
        if isinstance(outcome, Ok) and outcome.ok_value.body is None:
            return Ok(self._remove_at_close(outcome.ok_value, context.call_id))
        self._in_flight.remove(context.call_id)
        return outcome

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call at its current owner, and make no further attempts."""
        member = self._in_flight.cancel(call_id)
        if member is None:
            return
        log_event("call_abandoned", call=call_id, owner=member.instance)
        if member.instance == self._instance:
            self._owner.cancel(call_id)
        else:
            self._sender.cancel(member.peer_address, call_id)

    def _try_owners(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Try owners in turn until one responds or no further attempt is allowed."""
        suspicion = self._hints.find(context, body)
        if suspicion is Suspicion.QUARANTINED:
            return Err(self._hints.refuse(context, body))
        throttle = self._find_throttle(context.service)
        throttle.record_attempt()
        eligibility = self._rules.find(context)
        for owner in self._notices.list_excluded():
            eligibility = eligibility.exclude(owner)
        attempt = Attempt(eligibility, in_trial=suspicion is Suspicion.SUSPECT)
        may_have_run = False
        while True:
            choice = self._choose(context, body, attempt)
            if choice.chosen is None:
                refusal = attempt.refusal or self._refuse_without_owner(
                    context, attempt, choice
                )
                return Err(
                    apply_run_state(hide_placement_reason(refusal), may_have_run)
                )
            if attempt.in_trial and not context.in_trial:
                context = replace(context, in_trial=True)
            outcome = self._try_owner(context, body, retries, choice.chosen)
            if isinstance(outcome, Ok):
                self._hints.forget(context, body)
                return outcome
            refusal = outcome.err_value
            learned = self._hints.learn(context, body, refusal)
            may_have_run = may_have_run or not refusal.not_run
            if not self._may_retry(context, body, refusal, retries, throttle, attempt):
                return Err(
                    apply_run_state(hide_placement_reason(refusal), may_have_run)
                )
            eligibility = attempt.eligibility.exclude(choice.chosen.instance)
            in_trial = attempt.in_trial or learned is Suspicion.SUSPECT
            attempt = Attempt(eligibility, attempt.number + 1, refusal, in_trial)

    def _remove_at_close(self, response: Response, call_id: CallId) -> Response:
        """Return a response that keeps its call cancellable until it is closed."""

        def close() -> None:
            try:
                response.close()
            finally:
                self._in_flight.remove(call_id)

        return replace(response, close=close)

    def _choose(
        self, context: CallContext, body: RequestBody, attempt: Attempt
    ) -> Choice:
        owners = self._members.list_owners(context.service)
        if attempt.in_trial:
            allows = attempt.eligibility.allows
            tester = self._hints.choose_tester(context, body, owners, allows)
            choice = Choice(tester, ())
        else:
            choice = self._load_balancer.choose(
                owners, context.importance, attempt.eligibility
            )
        log_event(
            "call_routed",
            call=context.call_id,
            request=context.request_id,
            root=context.root_id,
            organisation=context.organisation,
            importance=context.importance,
            route=context.route,
            attempt=attempt.number,
            in_trial=attempt.in_trial,
            owner=choice.chosen.instance if choice.chosen else None,
            candidates=",".join(
                f"{c.member.instance}:{c.score:.2f}" for c in choice.candidates
            ),
            load_ages_s=",".join([f"{c.load_age_s:.3f}" for c in choice.candidates]),
            owners=len(owners),
            pushed_back=choice.pushed_back,
        )
        return choice

    def _try_owner(
        self,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
        member: Member,
    ) -> Result[Response, Refusal]:
        """Send the call to one owner and report the outcome to the load balancer."""
        loads: list[LoadReport] = []
        started_at = self._clock.read_monotonic()
        notice = self._notices.find(member.instance)
        if notice is not None:
            context = replace(context, notice=notice)
        self._in_flight.set_location(context.call_id, member)
        self._load_balancer.record_start(member.instance)
        outcome: Result[Response, Refusal] | None = None
        try:
            if member.instance == self._instance:
                outcome = self._serve_locally(context, body, retries)
                loads.append(self._owner.report_load())
            else:
                outcome = self._sender.send(
                    member, context, body, retries, loads.append
                )
        finally:
            load = loads[-1] if loads else None
            self._load_balancer.record_end(
                member.instance, classify_outcome(outcome), load
            )
        if isinstance(outcome, Ok) and load is not None:
            self._notices.record(member.instance, load.notice, started_at)
            if load.notice is None and self._is_leaving(outcome.ok_value):
                self._notices.exclude(member.instance)
        return outcome

    def _is_leaving(self, response: Response) -> bool:
        """Return whether a response says that its target leaves."""
        return find_header(response.headers, self._names.leaving) == LEAVING_VALUE

    def _serve_locally(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        share = RetryBudget(retries.split())
        outcome = self._owner.serve(context, body, share)
        retries.refund(share.left)
        return outcome

    def _refuse_without_owner(
        self, context: CallContext, attempt: Attempt, choice: Choice
    ) -> Refusal:
        """Return the refusal of a call without a chosen owner, and log the reason."""
        if choice.wait_s > 0:
            wait_ms = max(OVERLOAD_RETRY_AFTER_MS, int(choice.wait_s * 1000))
            reason = Reason.TARGET_LIMITED if choice.limited else Reason.TARGET_COLD
            return refuse_not_run(reason, wait_ms)
        if choice.pushed_back:
            detail = "all owners shed calls of this importance"
            return refuse_not_run(Reason.SHED, OVERLOAD_RETRY_AFTER_MS, detail)
        owners = self._members.list_owners(context.service)
        eligibility = attempt.eligibility
        regions = eligibility.residency.regions
        if owners and not attempt.number:
            self._metrics.increment("calls_without_eligible_owner")
            log_event(
                "no_eligible_owner",
                call=context.call_id,
                request=context.request_id,
                organisation=context.organisation,
                route=context.route,
                owners=len(owners),
                regions="any" if regions is None else ",".join(sorted(regions)),
                evacuated=",".join(sorted(eligibility.evacuated)),
            )
        return refuse_not_run(Reason.NO_TARGET, NO_TARGET_RETRY_AFTER_MS)

    def _may_retry(
        self,
        context: CallContext,
        body: RequestBody,
        refusal: Refusal,
        retries: RetryBudget,
        throttle: RetryThrottle,
        attempt: Attempt,
    ) -> bool:
        """Return whether to retry, after taking the retry from the budget."""
        if self._in_flight.is_cancelled(context.call_id) or body.started:
            return False
        if refusal.not_run:
            useful = refusal.reason in RETRYABLE_NOT_RUN_REASONS
        else:
            useful = (
                context.idempotent and refusal.reason in RETRYABLE_MAY_HAVE_RUN_REASONS
            )
        if not useful or self._clock.read_monotonic() >= context.deadline_at:
            return False
        if refusal.reason in REROUTE_REASONS:
            self._metrics.increment("moves")
            return attempt.number < REROUTES_MAX
        if not throttle.allow_retry(self._burst.find_share()):
            self._metrics.increment("retries_throttled")
            return False
        if not retries.try_spend():
            self._metrics.increment("retries_out_of_budget")
            return False
        self._metrics.increment("retries")
        return True

    def _find_throttle(self, service: ServiceName) -> RetryThrottle:
        throttle = self._throttles.get(service)
        if throttle is None:
            configured = self._holder.current.services.get(service)
            ratio = configured.retry_ratio if configured else 0.0
            share = self._burst.find_share()
            throttle = RetryThrottle(ratio, share, self._clock, self._burst_at)
            throttle = self._throttles.setdefault(service, throttle)
        return throttle


def hide_placement_reason(refusal: Refusal) -> Refusal:
    """Return the refusal, without a reason that would reveal placement rules."""
    if refusal.reason not in PLACEMENT_REASONS:
        return refusal
    return replace(refusal, reason=Reason.NO_TARGET, detail="")


def apply_run_state(refusal: Refusal, may_have_run: bool) -> Refusal:
    """Return the refusal, as "may have run" if any attempt may have run."""
    if refusal.not_run and may_have_run:
        return replace(refusal, run_state=RunState.MAY_HAVE_RUN)
    return refusal


def classify_outcome(outcome: Result[Response, Refusal] | None) -> AttemptOutcome:
    """Classify the result of an attempt for the load balancer."""
    if outcome is None:
        return AttemptOutcome.FAILED
    if isinstance(outcome, Ok):
        return AttemptOutcome.ANSWERED
    if outcome.err_value.reason in OWNER_FAILURE_REASONS:
        return AttemptOutcome.FAILED
    return AttemptOutcome.REFUSED
