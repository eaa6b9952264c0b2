"""Take root requests in from callers, who show a key."""

import os
from collections.abc import Iterable

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import Answer, BodyError, CallContext, RequestBody
from corianderhold.coordination.entry.const import (
    OVERLOAD_RETRY_AFTER_MS,
    RESERVED_THREADS,
)
from corianderhold.coordination.entry.gate import Gate
from corianderhold.coordination.entry.request import WebRequest, read_body, read_request
from corianderhold.coordination.entry.response import respond_answer, respond_refusal
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.once.keeper import CallRouter
from corianderhold.coordination.rate.limiter import RateLimiter
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, OrganisationId, RootId
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import (
    Configuration,
    IsolatedBehaviour,
    Route,
)
from corianderhold.state.configuration.routes import (
    RouteMatch,
    build_route_index,
    may_use,
)
from corianderhold.state.keys.ring import Caller, identify_caller
from corianderhold.transport.web.server import (
    ENVIRON_SOCKET,
    Environ,
    StartResponse,
)


class CallerApplication:
    """Identify the caller, charge its organisation and route the request."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        limiter: RateLimiter,
        router: CallRouter,
        watch: CallerWatch,
        clock: Clock,
        metrics: Metrics,
        threads: int,
    ) -> None:
        self._holder = holder
        self._limiter = limiter
        self._router = router
        self._watch = watch
        self._clock = clock
        self._metrics = metrics
        self._gate = Gate(threads - RESERVED_THREADS)
        self._index = build_route_index(holder.current)
        holder.add_listener(self._follow)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        call_id = CallId(os.urandom(16).hex())
        started_at = self._clock.read_monotonic()
        with self._gate as entered:
            if not entered:
                refusal = refuse_not_run(Reason.SHED, OVERLOAD_RETRY_AFTER_MS)
                return self._refuse(refusal, call_id, start_response)
            try:
                outcome = self._handle(environ, call_id)
            finally:
                self._watch.remove(call_id)
        duration_s = self._clock.read_monotonic() - started_at
        self._metrics.record_duration("entry_time", duration_s)
        if isinstance(outcome, Err):
            return self._refuse(outcome.err_value, call_id, start_response)
        self._metrics.increment("entry_answered")
        return respond_answer(outcome.ok_value, call_id, start_response)

    def stop_admitting(self) -> None:
        """Refuse new requests, because this daemon is about to end."""
        self._gate.close()

    def count_in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self._gate.count

    def _follow(self, configuration: Configuration) -> None:
        self._index = build_route_index(configuration)

    def _handle(self, environ: Environ, call_id: CallId) -> Result[Answer, Refusal]:
        request = read_request(environ)
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        caller, match = admitted.ok_value
        try:
            body: RequestBody = read_body(environ)
        except (BodyError, ValueError) as error:
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=str(error)))
        context = self._build_context(request, caller.organisation, match, call_id)
        self._watch.add(call_id, environ[ENVIRON_SOCKET])
        return self._router.route(context, body, RetryBudget(match.route.retry_budget))

    def _admit(self, request: WebRequest) -> Result[tuple[Caller, RouteMatch], Refusal]:
        """Return whose request this is and its route, once it is charged."""
        configuration = self._holder.current
        if not configuration.version:
            reason = Reason.CONFIGURATION_MISSING
            return Err(refuse_not_run(reason, OVERLOAD_RETRY_AFTER_MS))
        identified = identify_caller(
            configuration, request.key, self._clock.read_wall()
        )
        if isinstance(identified, Err):
            return Err(refuse_not_run(identified.err_value))
        caller = identified.ok_value
        found = self._index.find(request.method, request.path)
        if isinstance(found, Err):
            return Err(refuse_not_run(found.err_value))
        match = found.ok_value
        refusal = self._check_access(request, caller, match.route)
        if refusal is not None:
            return Err(refusal)
        now = self._clock.read_monotonic()
        charged = self._limiter.charge(caller.organisation, now)
        if isinstance(charged, Err):
            return charged
        return Ok((caller, match))

    def _check_access(
        self, request: WebRequest, caller: Caller, route: Route
    ) -> Refusal | None:
        """Return why this caller may not use the route now, or None."""
        if request.key and request.key in request.path + request.query:
            return refuse_not_run(
                Reason.REQUEST_MALFORMED, detail="a key must not stand in the address"
            )
        if not may_use(route, caller.organisation):
            return refuse_not_run(Reason.ROUTE_FORBIDDEN)
        age_s = self._clock.read_monotonic() - self._holder.verified_at
        if (
            route.isolated is IsolatedBehaviour.REFUSE
            and age_s > route.isolated_after_s
        ):
            return refuse_not_run(Reason.VIEW_TOO_OLD, OVERLOAD_RETRY_AFTER_MS)
        return None

    def _build_context(
        self,
        request: WebRequest,
        organisation: OrganisationId,
        match: RouteMatch,
        call_id: CallId,
    ) -> CallContext:
        route = match.route
        now = self._clock.read_monotonic()
        return CallContext(
            call_id=call_id,
            root_id=RootId(call_id),
            organisation=organisation,
            importance=int(route.importance),
            deadline_at=now + route.deadline_ms / 1000,
            depth=0,
            service=route.service,
            route=route.name,
            idempotent=route.idempotent,
            method=request.method,
            path=match.path + request.query,
            headers=request.headers,
            idempotency_key=request.idempotency_key,
        )

    def _refuse(
        self, refusal: Refusal, call_id: CallId, start_response: StartResponse
    ) -> Iterable[bytes]:
        self._metrics.increment(f"entry_refused_{refusal.reason.value}")
        log_event(
            "request_refused",
            call=call_id,
            verdict=refusal.run_state,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            detail=refusal.detail,
        )
        return respond_refusal(refusal, call_id, start_response)
