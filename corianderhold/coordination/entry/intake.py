"""Serve what the caller and the outgoing listener have in common."""

import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain, count

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    Answer,
    AnswerTruncatedError,
    BodyError,
    CallContext,
)
from corianderhold.coordination.entry.const import (
    OVERLOAD_RETRY_AFTER_MS,
    RESERVED_THREADS,
)
from corianderhold.coordination.entry.gate import Gate
from corianderhold.coordination.entry.request import (
    RequestReader,
    WebRequest,
    read_body,
)
from corianderhold.coordination.entry.response import (
    RetryAfterFormat,
    format_whole_seconds,
    respond_answer,
    respond_refusal,
)
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.once.keeper import CallRouter
from corianderhold.coordination.owner.breaker import CalleeBreaker
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, OrganisationId, RootId, ServiceName
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.model import Route
from corianderhold.state.configuration.routes import RouteMatch
from corianderhold.transport.web.server import (
    ENVIRON_SOCKET,
    Environ,
    StartResponse,
)

MILLISECONDS = 1000
PREFIX_BYTES = 12
COLD = frozenset({Reason.TARGET_COLD, Reason.CALLEE_COLD})


@dataclass(frozen=True)
class Arrival:
    """
    A request as it came in.

    `arrived_at` is in monotonic seconds.
    """

    environ: Environ
    call_id: CallId
    request: WebRequest
    arrived_at: float


class CallIds:
    """Draw ids that no other call of any daemon has."""

    def __init__(self) -> None:
        self._prefix = os.urandom(PREFIX_BYTES).hex()
        self._numbers = count()

    def draw(self) -> CallId:
        """Return the next id; it says nothing and proves nothing."""
        return CallId(f"{self._prefix}{next(self._numbers):08x}")


Handle = Callable[[Arrival], Result[Answer, Refusal]]


@dataclass(frozen=True)
class Origin:
    """
    On whose behalf a request runs.

    `deadline_at` is in monotonic seconds; `depth` is 0 for a root request.
    """

    root_id: RootId
    organisation: OrganisationId
    importance: int
    deadline_at: float
    depth: int


class Intake:
    """
    Take requests in on one listener, within its threads, and write their answers.

    `name` begins the names of the listener's events and metrics. `reserve` is the part
    of the places that only some requests may use.
    """

    def __init__(
        self,
        name: str,
        router: CallRouter,
        watch: CallerWatch,
        clock: Clock,
        metrics: Metrics,
        threads: int,
        reader: RequestReader,
        format_retry_after: RetryAfterFormat = format_whole_seconds,
        reserve: float = 0.0,
    ) -> None:
        self._name = name
        self._router = router
        self._watch = watch
        self._clock = clock
        self._metrics = metrics
        self._reader = reader
        self._format_retry_after = format_retry_after
        self._ids = CallIds()
        self._duration_name = f"{name}_time"
        self._answered_name = f"{name}_answered"
        places = threads - RESERVED_THREADS
        self.gate = Gate(places, int(places * reserve))

    def serve(
        self,
        environ: Environ,
        start_response: StartResponse,
        handle: Handle,
        may_use_reserve: Callable[[Environ], bool] | None = None,
    ) -> Iterable[bytes]:
        """
        Handle one request and write its answer or refusal.

        `may_use_reserve` is asked only when the other places are taken.
        """
        call_id = self._ids.draw()
        if not self._enter(environ, may_use_reserve):
            reason = Reason.DRAINING if self.gate.is_closed else Reason.SHED
            refusal = refuse_not_run(reason, OVERLOAD_RETRY_AFTER_MS)
            return self._refuse(refusal, call_id, environ, start_response)
        arrived_at = self._clock.read_monotonic()
        try:
            request = self._reader.read(environ)
            outcome = handle(Arrival(environ, call_id, request, arrived_at))
            if isinstance(outcome, Ok):
                outcome = open_answer(outcome.ok_value)
        except BaseException:
            self._leave(call_id)
            raise
        duration_s = self._clock.read_monotonic() - arrived_at
        self._metrics.record_duration(self._duration_name, duration_s)
        if isinstance(outcome, Err):
            self._leave(call_id)
            return self._refuse(outcome.err_value, call_id, environ, start_response)
        answer = outcome.ok_value
        self._metrics.increment(self._answered_name)
        log_event(
            self._answered_name,
            call=call_id,
            status=answer.status,
            seconds=duration_s,
        )
        if answer.body is None:
            answer = self._leave_at_close(answer, call_id)
        else:
            self._leave(call_id)
        return respond_answer(answer, call_id, start_response)

    def route(
        self, environ: Environ, context: CallContext, retries: RetryBudget
    ) -> Result[Answer, Refusal]:
        """Read the request's body and route the call until its caller leaves."""
        try:
            body = read_body(environ, context.deadline_at)
        except BodyError as error:
            return Err(refuse_not_run(error.reason, detail=str(error)))
        self._watch.add(context.call_id, environ[ENVIRON_SOCKET])
        return self._router.route(context, body, retries)

    def _enter(
        self, environ: Environ, may_use_reserve: Callable[[Environ], bool] | None
    ) -> bool:
        if self.gate.enter():
            return True
        if may_use_reserve is None or not may_use_reserve(environ):
            return False
        return self.gate.enter(reserve=True)

    def _leave_at_close(self, answer: Answer, call_id: CallId) -> Answer:
        """Return a streamed answer with its request inside until the answer's end."""

        def close() -> None:
            try:
                answer.close()
            finally:
                self._leave(call_id)

        return Answer(answer.status, answer.headers, None, answer.chunks, close)

    def _leave(self, call_id: CallId) -> None:
        self._watch.remove(call_id)
        self.gate.leave()

    def _refuse(
        self,
        refusal: Refusal,
        call_id: CallId,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._metrics.increment(f"{self._name}_refused_{refusal.reason.value}")
        log_event(
            f"{self._name}_refused",
            call=call_id,
            request=self._reader.read_request_id(environ),
            verdict=refusal.run_state,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            detail=refusal.detail,
        )
        return respond_refusal(
            refusal,
            call_id,
            start_response,
            self._format_retry_after,
            self._reader.repeat_request_id(environ),
        )


def open_answer(answer: Answer) -> Result[Answer, Refusal]:
    """
    Wait for the first part of an answer that is passed on as it comes.

    One that breaks off before can still be refused.
    """
    if answer.body is not None:
        return Ok(answer)
    try:
        first = next(answer.chunks, b"")
    except AnswerTruncatedError as error:
        answer.close()
        return Err(error.refusal)
    except BaseException:
        answer.close()
        raise
    chunks = chain((first,), answer.chunks)
    return Ok(Answer(answer.status, answer.headers, None, chunks, answer.close))


def build_context(
    arrival: Arrival, match: RouteMatch, service: ServiceName, origin: Origin
) -> CallContext:
    """Build the context of a request that a service of its route is to answer."""
    request, route = arrival.request, match.route
    return CallContext(
        call_id=arrival.call_id,
        root_id=origin.root_id,
        organisation=origin.organisation,
        importance=origin.importance,
        deadline_at=origin.deadline_at,
        depth=origin.depth,
        service=service,
        route=route.name,
        idempotent=route.idempotent,
        method=request.method,
        path=match.path + request.query,
        headers=request.headers,
        idempotency_key=request.idempotency_key,
        request_id=request.request_id,
    )


def find_deadline(arrival: Arrival, route: Route) -> float:
    """Return when a request's time is over, for its route and for its caller."""
    limit_ms = route.deadline_ms
    if arrival.request.deadline_ms is not None:
        limit_ms = min(limit_ms, arrival.request.deadline_ms)
    return arrival.arrived_at + limit_ms / MILLISECONDS


def note_cold_callee(breaker: CalleeBreaker, outcome: Result[Answer, Refusal]) -> None:
    """Note how a nested call ended where a cold service refused it."""
    if isinstance(outcome, Err) and outcome.err_value.reason in COLD:
        breaker.note_callee_refused(outcome.err_value.retry_after_ms / MILLISECONDS)
