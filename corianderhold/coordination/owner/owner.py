"""Serve calls with the local target; nobody else ever sends to it."""

from collections.abc import Iterator
from typing import Protocol

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    Answer,
    AnswerTruncatedError,
    BodyError,
    CallContext,
    RequestBody,
)
from corianderhold.coordination.owner.admission import Admission
from corianderhold.coordination.owner.const import DRAINING_RETRY_AFTER_MS
from corianderhold.coordination.owner.policy import TargetSource
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import (
    HEADER_CALL_ID,
    HEADER_CONTEXT,
    HEADER_DEADLINE_MS,
    HEADER_IMPORTANCE,
    HEADER_ORGANISATION,
)
from corianderhold.protocol.peer.const import INLINE_BODY_BYTES
from corianderhold.protocol.peer.messages import Header, LoadReport
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.transport.web.errors import TargetError
from corianderhold.transport.web.target import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)


class CallOwner(Protocol):
    """Run calls with one target."""

    def serve(
        self,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Answer, Refusal]:
        """Run one call and return its answer as soon as it begins."""

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call, whether it waits or runs."""

    def report_load(self) -> LoadReport:
        """Return the present load."""


class Owner:
    """Admit calls, dispatch them to the local target and keep them cancellable."""

    def __init__(
        self,
        source: TargetSource,
        admission: Admission,
        client: TargetClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._source = source
        self._admission = admission
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self.calls = InFlightCalls()

    def serve(
        self,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Answer, Refusal]:
        """
        Run one call and return its answer as soon as it begins.

        The answer's `close` gives the permit back.
        """
        found = self._find_target(context)
        if isinstance(found, Err):
            return self._refuse(context, found.err_value)
        call = InFlightCall(context, retries)
        self.calls.add(call)
        admitted = self._admission.acquire(context, call.hold_waiter)
        if isinstance(admitted, Err):
            self.calls.remove(call)
            return self._refuse(context, admitted.err_value)
        started_at = self._clock.read_monotonic()
        try:
            outcome = self._dispatch(call, found.ok_value, body)
        except BaseException:
            self._end(call, started_at, failed=True)
            raise
        if isinstance(outcome, Err):
            self._end_refused(call, started_at, outcome.err_value)
            return self._refuse(context, outcome.err_value)
        return self._open_answer(call, outcome.ok_value, started_at)

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call, whether it waits or runs."""
        if self.calls.cancel(call_id):
            log_event("call_cancelled", call=call_id)

    def count_in_flight(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self.calls)

    def report_load(self) -> LoadReport:
        """Return the present load."""
        draining = self._source.read_target().state is not TargetState.SERVING
        return self._admission.report_load(draining)

    def _find_target(self, context: CallContext) -> Result[Address, Refusal]:
        target = self._source.read_target()
        if target.address is None or target.service != context.service:
            return Err(refuse_not_run(Reason.NO_TARGET))
        if target.state is TargetState.DRAINING:
            return Err(refuse_not_run(Reason.DRAINING, DRAINING_RETRY_AFTER_MS))
        return Ok(target.address)

    def _dispatch(
        self,
        call: InFlightCall,
        target: Address,
        body: RequestBody,
    ) -> Result[TargetAnswer, Refusal]:
        connected = self._client.connect(target)
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        refusal = self._check_still_wanted(call)
        if refusal is not None:
            connection.close()
            return Err(refusal)
        log_event(
            "call_dispatched",
            call=call.context.call_id,
            root=call.context.root_id,
            organisation=call.context.organisation,
            importance=call.context.importance,
            route=call.context.route,
            target=str(target),
        )
        return self._exchange(call, target, connection, body)

    def _check_still_wanted(self, call: InFlightCall) -> Refusal | None:
        """Return a refusal when the call must not be sent any more."""
        now = self._clock.read_monotonic()
        if call.cancelled.is_set():
            return refuse_not_run(Reason.CANCELLED)
        if now >= call.context.deadline_at:
            return refuse_not_run(Reason.DEADLINE_PASSED)
        found = self._find_target(call.context)
        return found.err_value if isinstance(found, Err) else None

    def _exchange(
        self,
        call: InFlightCall,
        target: Address,
        connection: HTTPConnection,
        body: RequestBody,
    ) -> Result[TargetAnswer, Refusal]:
        request = self._build_request(call, body)
        try:
            outcome = self._client.exchange(target, connection, request, call.attach)
        except BodyError as error:
            reason = Reason.REQUEST_MALFORMED
            return Err(refuse_may_have_run(reason, detail=str(error)))
        if isinstance(outcome, Err) and call.cancelled.is_set():
            return Err(refuse_may_have_run(Reason.CANCELLED))
        return outcome

    def _build_request(self, call: InFlightCall, body: RequestBody) -> TargetRequest:
        context = call.context
        left_s = context.deadline_at - self._clock.read_monotonic()
        own = (
            Header(HEADER_CONTEXT, call.token),
            Header(HEADER_CALL_ID, context.call_id),
            Header(HEADER_ORGANISATION, context.organisation),
            Header(HEADER_IMPORTANCE, str(context.importance)),
            Header(HEADER_DEADLINE_MS, str(max(0, int(left_s * 1000)))),
        )
        inline = body.inline
        return TargetRequest(
            method=context.method,
            path=context.path,
            headers=context.headers + own,
            body=body.read_chunks() if inline is None else inline,
            length=body.length,
            deadline_at=context.deadline_at,
        )

    def _open_answer(
        self, call: InFlightCall, answer: TargetAnswer, started_at: float
    ) -> Result[Answer, Refusal]:
        """Hold a small answer whole; begin to pass on a large one."""
        length = find_length(answer.headers)
        if length is None or length > INLINE_BODY_BYTES:
            chunks = GuardedChunks(
                answer.chunks, lambda failed: self._end(call, started_at, failed=failed)
            )
            return Ok(Answer(answer.status, answer.headers, None, chunks, chunks.close))
        try:
            body = b"".join(answer.chunks)
        except TargetError as error:
            self._end(call, started_at, failed=True)
            return self._refuse(call.context, error.refusal)
        self._end(call, started_at, failed=False)
        return Ok(Answer(answer.status, answer.headers, body, iter(()), do_nothing))

    def _end(self, call: InFlightCall, started_at: float, *, failed: bool) -> None:
        self.calls.remove(call)
        self._admission.release(
            call.context.route, started_at, failed, nested_s=call.nested_s
        )
        duration_s = self._clock.read_monotonic() - started_at
        self._metrics.record_duration("owner_service_time", duration_s)

    def _end_refused(
        self, call: InFlightCall, started_at: float, refusal: Refusal
    ) -> None:
        """End a call; the limit learns nothing from one that was not sent."""
        if refusal.not_run and refusal.reason is not Reason.TARGET_UNREACHABLE:
            self.calls.remove(call)
            self._admission.release_unused()
        else:
            self._end(call, started_at, failed=True)

    def _refuse(
        self, context: CallContext, refusal: Refusal
    ) -> Result[Answer, Refusal]:
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


class GuardedChunks:
    """Pass on the parts of an answer and run the clean-up exactly once."""

    def __init__(self, chunks: Iterator[bytes], end: "EndCallback") -> None:
        self._chunks = chunks
        self._end: EndCallback | None = end

    def __iter__(self) -> "GuardedChunks":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except StopIteration:
            self._finish(failed=False)
            raise
        except TargetError as error:
            self._finish(failed=True)
            raise AnswerTruncatedError(error.refusal) from error
        except BaseException:
            self._finish(failed=True)
            raise

    def close(self) -> None:
        """End the answer before its end."""
        if self._end is None:
            return
        close = getattr(self._chunks, "close", do_nothing)
        close()
        self._finish(failed=True)

    def _finish(self, *, failed: bool) -> None:
        end, self._end = self._end, None
        if end is not None:
            end(failed)


class EndCallback(Protocol):
    """Learn that a call has ended."""

    def __call__(self, failed: bool, /) -> None:
        """Release what the call held."""


def find_length(headers: tuple[Header, ...]) -> int | None:
    """Return the Content-Length in bytes, or None."""
    for header in headers:
        if header.name.lower() == "content-length" and header.value.isdigit():
            return int(header.value)
    return None


def do_nothing() -> None:
    """Close an answer that holds nothing."""
