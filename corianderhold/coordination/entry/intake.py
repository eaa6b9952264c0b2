"""Serve what the caller and the outgoing listener have in common."""

import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from result import Err, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import Answer, BodyError, CallContext
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

    `name` begins the names of the listener's events and metrics.
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
    ) -> None:
        self._name = name
        self._router = router
        self._watch = watch
        self._clock = clock
        self._metrics = metrics
        self._reader = reader
        self._format_retry_after = format_retry_after
        self.gate = Gate(threads - RESERVED_THREADS)

    def serve(
        self, environ: Environ, start_response: StartResponse, handle: Handle
    ) -> Iterable[bytes]:
        """Handle one request and write its answer or refusal."""
        call_id = CallId(os.urandom(16).hex())
        if not self.gate.enter():
            reason = Reason.DRAINING if self.gate.is_closed else Reason.SHED
            refusal = refuse_not_run(reason, OVERLOAD_RETRY_AFTER_MS)
            return self._refuse(refusal, call_id, environ, start_response)
        started_at = self._clock.read_monotonic()
        try:
            request = self._reader.read(environ)
            outcome = handle(Arrival(environ, call_id, request, started_at))
        except BaseException:
            self.gate.leave()
            raise
        finally:
            self._watch.remove(call_id)
        duration_s = self._clock.read_monotonic() - started_at
        self._metrics.record_duration(f"{self._name}_time", duration_s)
        if isinstance(outcome, Err):
            self.gate.leave()
            return self._refuse(outcome.err_value, call_id, environ, start_response)
        self._metrics.increment(f"{self._name}_answered")
        answer = leave_at_close(outcome.ok_value, self.gate)
        return respond_answer(answer, call_id, start_response)

    def route(
        self, environ: Environ, context: CallContext, retries: RetryBudget
    ) -> Result[Answer, Refusal]:
        """Read the request's body and route the call until its caller leaves."""
        try:
            body = read_body(environ)
        except (BodyError, ValueError) as error:
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=str(error)))
        self._watch.add(context.call_id, environ[ENVIRON_SOCKET])
        return self._router.route(context, body, retries)

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


def leave_at_close(answer: Answer, gate: Gate) -> Answer:
    """Return the answer with its request inside the gate until the answer's end."""

    def close() -> None:
        try:
            answer.close()
        finally:
            gate.leave()

    return replace(answer, close=close)


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
