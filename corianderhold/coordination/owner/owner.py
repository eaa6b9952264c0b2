"""Serve calls with the local target; only its owner sends requests to it."""

from dataclasses import replace
from http import HTTPStatus
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    AnswerTruncatedError,
    BodyError,
    CallContext,
    RequestBody,
    Response,
)
from corianderhold.coordination.owner.admission import AdmissionController
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.chunks import (
    FinalizedChunks,
    buffer_small,
    discard,
    do_nothing,
)
from corianderhold.coordination.owner.const import (
    COLD_RETRY_AFTER_MS,
    DRAINING_RETRY_AFTER_MS,
    REFUSED_CONNECTIONS_MAX,
    RESPONSE_GRACE_S,
)
from corianderhold.coordination.owner.guard import PlacementGuard
from corianderhold.coordination.owner.headers import (
    TargetHeaders,
    find_header,
    parse_refusal,
    select_headers,
)
from corianderhold.coordination.owner.notices import TargetNotices
from corianderhold.coordination.owner.policy import TargetSource
from corianderhold.coordination.owner.registry import (
    InFlightCall,
    InFlightCalls,
    generate_token,
)
from corianderhold.coordination.owner.screen import CallScreen
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header, LoadReport
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus
from corianderhold.transport.web.connection import TargetConnection, TargetRequest
from corianderhold.transport.web.target import TargetClient, TargetResponse


class CallOwner(Protocol):
    """Run calls with one target."""

    def serve(
        self,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Response, Refusal]:
        """Run one call and return its response as soon as it begins."""

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call, whether it waits or runs."""

    def report_load(self) -> LoadReport:
        """Return the current load."""


class Owner:
    """Admit calls, dispatch them to the local target and cancel them on request."""

    def __init__(
        self,
        source: TargetSource,
        admission: AdmissionController,
        client: TargetClient,
        guard: PlacementGuard,
        breaker: CalleeCircuitBreaker,
        clock: Clock,
        metrics: Metrics,
        screen: CallScreen,
        names: HeaderNames | None = None,
    ) -> None:
        self._screen = screen
        self._source = source
        self._admission = admission
        self._client = client
        self._guard = guard
        self._breaker = breaker
        self._clock = clock
        self._metrics = metrics
        self._names = names or HeaderNames()
        self._headers = TargetHeaders(self._names)
        self._notices = TargetNotices(source, admission, clock, self._names)
        self._refused_connections = 0
        self.calls = InFlightCalls()

    def serve(
        self,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Response, Refusal]:
        """
        Run one call and return its response as soon as it begins.

        The permit is returned at the end of the response, at the latest by `close`.
        """
        refusal = self._find_refusal(context)
        if refusal is not None:
            return self._refuse(context, refusal)
        screened = self._screen.admit(context, body)
        if isinstance(screened, Err):
            return self._refuse(context, screened.err_value)
        token = generate_token() if self._names.context else ""
        request_id = find_header(context.headers, self._names.request_id)
        call = InFlightCall(context, retries, token, request_id, body)
        call.trial = screened.ok_value
        self.calls.add(call)
        try:
            admitted = self._admission.acquire(context, call.register_waiter)
        except BaseException:
            self._remove(call)
            raise
        if isinstance(admitted, Err):
            self._remove(call)
            return self._refuse(context, admitted.err_value)
        started_at = self._clock.read_monotonic()
        try:
            outcome = self._dispatch(call, body)
        except BaseException:
            self._finish(call, started_at, failed=True)
            raise
        if isinstance(outcome, Err):
            self._finish_refused(call, started_at, outcome.err_value)
            return self._refuse(context, outcome.err_value)
        return self._open_response(call, outcome.ok_value, started_at)

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call, whether it waits or runs."""
        call = self.calls.cancel(call_id)
        if call is not None:
            log_event("call_cancelled", call=call_id, request=call.request_id or "")

    def count_in_flight(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self.calls)

    def read_rate_limit(self) -> float:
        """Return the target's named limit in calls per second; 0 if it names none."""
        return self._notices.read_rate_limit()

    def report_load(self) -> LoadReport:
        """Return the current load."""
        serving = self._source.read_target().state is TargetState.SERVING
        load = self._admission.report_load(
            draining=not serving or self._guard.is_evacuated()
        )
        notice = self._notices.read()
        return load if notice is None else replace(load, notice=notice)

    def _find_refusal(self, context: CallContext) -> Refusal | None:
        """Return why a call can't be served at all at present, None if it can."""
        found = self._find_target(context)
        if isinstance(found, Err):
            return found.err_value
        wait_s = self._breaker.find_retry_after(context.route)
        if wait_s > 0:
            wait_ms = max(COLD_RETRY_AFTER_MS, int(wait_s * 1000))
            return refuse_not_run(Reason.CALLEE_COLD, wait_ms)
        return None

    def _remove(self, call: InFlightCall, *, passed: bool = False) -> None:
        """Remove a call, whose trial ends, from those in flight."""
        self.calls.remove(call)
        if call.trial is not None:
            call.trial.end(passed=passed)

    def _suspend(self, target: TargetStatus) -> None:
        self._screen.detector.record_suspension(target)
        self._source.suspend_target(target)

    def _find_target(self, context: CallContext) -> Result[TargetStatus, Refusal]:
        target = self._source.read_target()
        if target.address is None or target.service != context.service:
            return Err(refuse_not_run(Reason.NO_TARGET))
        self._notices.follow(target)
        if context.notice is not None:
            self._notices.adopt(target, context.notice)
            target = self._source.read_target()
        if target.state is TargetState.DRAINING:
            return Err(refuse_not_run(Reason.DRAINING, DRAINING_RETRY_AFTER_MS))
        refusal = self._guard.refuse(context)
        return Ok(target) if refusal is None else Err(refusal)

    def _dispatch(
        self, call: InFlightCall, body: RequestBody
    ) -> Result[TargetResponse, Refusal]:
        """Send an admitted call to the current target."""
        found = self._find_target(call.context)
        if isinstance(found, Err):
            return found
        target = found.ok_value
        connected = self._connect(target)
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        refusal = self._check_dispatchable(call, target)
        if refusal is not None:
            connection.close()
            return Err(refusal)
        log_event(
            "call_dispatched",
            call=call.context.call_id,
            request=call.request_id or "",
            root=call.context.root_id,
            organisation=call.context.organisation,
            importance=call.context.importance,
            route=call.context.route,
            target=str(target.address),
        )
        return self._exchange(call, target, connection, body)

    def _connect(self, target: TargetStatus) -> Result[TargetConnection, Refusal]:
        """Return a connection; suspend the target after consecutive refusals."""
        assert target.address is not None
        connected = self._client.connect(target.address)
        if isinstance(connected, Ok):
            self._refused_connections = 0
            return connected
        failure = connected.err_value
        self._refused_connections += failure.refused
        if self._refused_connections >= REFUSED_CONNECTIONS_MAX:
            self._refused_connections = 0
            self._suspend(target)
        return Err(refuse_not_run(Reason.TARGET_UNREACHABLE, detail=failure.detail))

    def _check_dispatchable(
        self, call: InFlightCall, target: TargetStatus
    ) -> Refusal | None:
        """Return a refusal if the call must no longer be sent."""
        now = self._clock.read_monotonic()
        if call.cancelled:
            return refuse_not_run(Reason.CANCELLED)
        if now >= call.context.deadline_at:
            return refuse_not_run(Reason.DEADLINE_PASSED)
        found = self._find_target(call.context)
        if isinstance(found, Err):
            return found.err_value
        if found.ok_value != target:
            return refuse_not_run(Reason.NO_TARGET, detail="another target is here")
        return None

    def _exchange(
        self,
        call: InFlightCall,
        target: TargetStatus,
        connection: TargetConnection,
        body: RequestBody,
    ) -> Result[TargetResponse, Refusal]:
        request = self._build_request(call, target, body)
        dispatched_at = self._clock.read_monotonic()
        call.target = target
        try:
            outcome = self._client.exchange(connection, request, call.attach_connection)
        except BodyError as error:
            reason = Reason.REQUEST_MALFORMED
            return Err(refuse_may_have_run(reason, detail=str(error)))
        if isinstance(outcome, Err) and call.cancelled:
            return Err(refuse_may_have_run(Reason.CANCELLED))
        if isinstance(outcome, Err):
            return Err(self._explain(call, outcome.err_value))
        self._notices.observe(target, outcome.ok_value.headers, dispatched_at)
        return self._convert_not_run(call, target, outcome)

    def _explain(self, call: InFlightCall, refusal: Refusal) -> Refusal:
        """Return the refusal of a call that was sent; a crash suspends its target."""
        target = call.target
        if target is None:
            return refusal
        explained = self._screen.explain_failure(call, target, self.calls, refusal)
        if explained is not refusal:
            self._suspend(target)
        return explained

    def _convert_not_run(
        self, call: InFlightCall, target: TargetStatus, outcome: Ok[TargetResponse]
    ) -> Result[TargetResponse, Refusal]:
        """Return a refusal in place of a response that says "not run"."""
        response = outcome.ok_value
        refusal = parse_refusal(response.status, response.headers, self._names)
        if refusal is None:
            failed = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            self._breaker.record_outcome(call.context.route, failed)
            return outcome
        discard(response, self._clock)
        if not response.attributable:
            detail = "refusal without a request id, maybe of an earlier request"
            return Err(refuse_may_have_run(Reason.ANSWER_TRUNCATED, detail))
        if refusal.reason is Reason.TARGET_MISMATCH:
            self._suspend(target)
        return Err(refusal)

    def _build_request(
        self, call: InFlightCall, target: TargetStatus, body: RequestBody
    ) -> TargetRequest:
        context = call.context
        left_s = context.deadline_at - self._clock.read_monotonic()
        inline = body.inline
        return TargetRequest(
            method=context.method,
            path=context.path,
            headers=self._headers.build(context, target.target_id, call.token, left_s),
            body=body.read_chunks() if inline is None else inline,
            length=body.length,
            deadline_at=context.deadline_at + RESPONSE_GRACE_S,
            request_id=call.request_id,
        )

    def _open_response(
        self, call: InFlightCall, response: TargetResponse, started_at: float
    ) -> Result[Response, Refusal]:
        """Buffer a small response completely; stream a large one."""

        def finish(failed: bool) -> None:
            self._finish(call, started_at, failed=failed)

        def is_complete() -> bool:
            # A cancellation closes the connection, which ends a response without a
            # length just as the target does.
            return response.has_known_end or not call.cancelled

        def explain(refusal: Refusal) -> Refusal:
            return self._explain(call, refusal)

        chunks = FinalizedChunks(response.chunks, finish, is_complete, explain)
        headers = select_headers(response.headers)
        try:
            first, complete = buffer_small(chunks, response.length, self._clock)
        except AnswerTruncatedError as error:
            return self._refuse(call.context, error.refusal)
        if not complete:
            chunks.unread(first)
            return Ok(Response(response.status, headers, None, chunks, chunks.close))
        if response.length is None:
            headers += (Header("Content-Length", str(len(first))),)
        return Ok(Response(response.status, headers, first, iter(()), do_nothing))

    def _finish(self, call: InFlightCall, started_at: float, *, failed: bool) -> None:
        """Finish a call; a cancelled one does not affect the limit."""
        self._remove(call, passed=not failed)
        if not failed:
            self._screen.record_response(call, started_at)
        if failed and call.cancelled:
            self._admission.release_unsent()
        else:
            self._admission.release(
                call.context.route, started_at, failed, nested_s=call.nested_s
            )
        duration_s = self._clock.read_monotonic() - started_at
        self._metrics.record_duration("owner_service_time", duration_s)

    def _finish_refused(
        self, call: InFlightCall, started_at: float, refusal: Refusal
    ) -> None:
        """Finish a refused call; one that was not sent does not affect the limit."""
        if refusal.reason is Reason.TARGET_FULL:
            self._remove(call)
            self._admission.release_refused()
        elif refusal.not_run and refusal.reason is not Reason.TARGET_UNREACHABLE:
            self._remove(call)
            self._admission.release_unsent()
        else:
            self._finish(call, started_at, failed=True)

    def _refuse(
        self, context: CallContext, refusal: Refusal
    ) -> Result[Response, Refusal]:
        self._metrics.increment(f"owner_refused_{refusal.reason.value}")
        log_event(
            "call_refused_by_owner",
            call=context.call_id,
            root=context.root_id,
            organisation=context.organisation,
            importance=context.importance,
            verdict=refusal.run_state,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        return Err(refusal)
