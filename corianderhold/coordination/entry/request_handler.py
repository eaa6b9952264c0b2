"""Handle the requests of the caller and the outgoing listener."""

import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain, count

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    AnswerTruncatedError,
    BodyError,
    CallContext,
    Response,
)
from corianderhold.coordination.entry.const import (
    LIMITED_CALLEE_WAIT_S,
    OVERLOAD_RETRY_AFTER_MS,
    RESERVED_THREADS,
)
from corianderhold.coordination.entry.request import (
    RequestReader,
    WebRequest,
    read_body,
)
from corianderhold.coordination.entry.request_semaphore import RequestSemaphore
from corianderhold.coordination.entry.response import (
    CompleteBody,
    RetryAfterFormat,
    format_whole_seconds,
    write_refusal,
    write_response,
)
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.once.keeper import CallRouter
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
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
COLD_REASONS = frozenset({Reason.TARGET_COLD, Reason.CALLEE_COLD})


@dataclass(frozen=True)
class ReceivedRequest:
    """
    A request as it was received.

    `received_at` is in monotonic seconds.
    """

    environ: Environ
    call_id: CallId
    request: WebRequest
    received_at: float


class CallIdGenerator:
    """Generate call ids that are unique across daemons."""

    def __init__(self) -> None:
        self._prefix = os.urandom(PREFIX_BYTES).hex()
        self._sequence = count()

    def generate(self) -> CallId:
        """Return the next id. It carries no data and authorizes nothing."""
        return CallId(f"{self._prefix}{next(self._sequence):08x}")


HandleCallback = Callable[[ReceivedRequest], Result[Response, Refusal]]


@dataclass(frozen=True)
class Origin:
    """
    The root request and the organisation that a call runs for.

    `deadline_at` is in monotonic seconds; `depth` is 0 for a root request.
    """

    root_id: RootId
    organisation: OrganisationId
    importance: int
    deadline_at: float
    depth: int


class RequestHandler:
    """
    Handle the requests of one listener and write their responses.

    `name` is the prefix of the listener's log events and metrics. `reserve` is the
    ratio of the capacity that only some requests may use.
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
        self._ids = CallIdGenerator()
        self._duration_name = f"{name}_time"
        self._answered_name = f"{name}_answered"
        capacity = threads - RESERVED_THREADS
        self.semaphore = RequestSemaphore(capacity, int(capacity * reserve))

    def serve(
        self,
        environ: Environ,
        start_response: StartResponse,
        handle: HandleCallback,
        may_use_reserve: Callable[[Environ], bool] | None = None,
    ) -> Iterable[bytes]:
        """
        Handle one request and return its response or refusal.

        The request is in flight until the returned body is closed, which the server
        does after it has written it. `may_use_reserve` is called only when the
        unreserved capacity is in use.
        """
        call_id = self._ids.generate()
        if not self._try_acquire(environ, may_use_reserve):
            reason = Reason.DRAINING if self.semaphore.is_closed else Reason.SHED
            refusal = refuse_not_run(reason, OVERLOAD_RETRY_AFTER_MS)
            return self._refuse(refusal, call_id, environ, start_response)
        arrived_at = self._clock.read_monotonic()
        try:
            request = self._reader.read(environ)
            outcome = handle(ReceivedRequest(environ, call_id, request, arrived_at))
            if isinstance(outcome, Ok):
                outcome = await_first_chunk(outcome.ok_value)
        except BaseException:
            self._release(call_id)
            raise
        duration_s = self._clock.read_monotonic() - arrived_at
        self._metrics.record_duration(self._duration_name, duration_s)
        try:
            return self._respond(outcome, call_id, duration_s, environ, start_response)
        except BaseException:
            self._release(call_id)
            raise

    def route(
        self, environ: Environ, context: CallContext, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Read the body and route the call; watch the connection of its caller."""
        try:
            body = read_body(environ, context.deadline_at)
        except BodyError as error:
            return Err(refuse_not_run(error.reason, detail=str(error)))
        self._watch.add(context.call_id, environ[ENVIRON_SOCKET])
        return self._router.route(context, body, retries)

    def _try_acquire(
        self, environ: Environ, may_use_reserve: Callable[[Environ], bool] | None
    ) -> bool:
        if self.semaphore.try_acquire():
            return True
        if may_use_reserve is None or not may_use_reserve(environ):
            return False
        return self.semaphore.try_acquire(reserve=True)

    def _respond(
        self,
        outcome: Result[Response, Refusal],
        call_id: CallId,
        duration_s: float,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return the body of a response, which releases its request when closed."""
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            parts = self._refuse(refusal, call_id, environ, start_response)
            return self._complete(parts, call_id)
        response = outcome.ok_value
        self._metrics.increment(self._answered_name)
        log_event(
            self._answered_name,
            call=call_id,
            status=response.status,
            seconds=duration_s,
        )
        if response.body is None:
            streamed = self._release_at_close(response, call_id)
            return write_response(streamed, call_id, start_response)
        return self._complete(
            write_response(response, call_id, start_response), call_id
        )

    def _complete(self, parts: Iterable[bytes], call_id: CallId) -> CompleteBody:
        """Return a whole response; its call has ended and is no longer watched."""
        self._watch.remove(call_id)
        return CompleteBody(parts, self.semaphore.release)

    def _release_at_close(self, response: Response, call_id: CallId) -> Response:
        """Return a streamed response that releases its request when it is closed."""

        def close() -> None:
            try:
                response.close()
            finally:
                self._release(call_id)

        return Response(response.status, response.headers, None, response.chunks, close)

    def _release(self, call_id: CallId) -> None:
        self._watch.remove(call_id)
        self.semaphore.release()

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
        return write_refusal(
            refusal,
            call_id,
            start_response,
            self._format_retry_after,
            self._reader.echo_request_id(environ),
        )


def await_first_chunk(response: Response) -> Result[Response, Refusal]:
    """
    Wait for the first chunk of a streamed response.

    A response that fails before its first chunk can still be turned into a refusal.
    """
    if response.body is not None:
        return Ok(response)
    try:
        first = next(response.chunks, b"")
    except AnswerTruncatedError as error:
        response.close()
        return Err(error.refusal)
    except BaseException:
        response.close()
        raise
    chunks = chain((first,), response.chunks)
    return Ok(Response(response.status, response.headers, None, chunks, response.close))


def build_context(
    arrival: ReceivedRequest, match: RouteMatch, service: ServiceName, origin: Origin
) -> CallContext:
    """Build the call context of a request to a service of its route."""
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


def compute_deadline(arrival: ReceivedRequest, route: Route) -> float:
    """Return the earlier of the route's and the caller's deadline."""
    limit_ms = route.deadline_ms
    if arrival.request.deadline_ms is not None:
        limit_ms = min(limit_ms, arrival.request.deadline_ms)
    return arrival.received_at + limit_ms / MILLISECONDS


def record_cold_callee(
    breaker: CalleeCircuitBreaker, outcome: Result[Response, Refusal]
) -> None:
    """
    Record a nested call that a cold or limited service refused.

    A limited service takes some calls all the time, so its callers wait only briefly.
    """
    if not isinstance(outcome, Err):
        return
    wait_s = outcome.err_value.retry_after_ms / MILLISECONDS
    if outcome.err_value.reason in COLD_REASONS:
        breaker.record_callee_refusal(wait_s)
    elif outcome.err_value.reason is Reason.TARGET_LIMITED:
        breaker.record_callee_refusal(min(wait_s, LIMITED_CALLEE_WAIT_S))
