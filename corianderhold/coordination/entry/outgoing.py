"""Take in what the local target sends: nested calls, its announcement, its drain."""

import json
import os
from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

from result import Err, Result
from voluptuous import Invalid, Required, Schema

from corianderhold.clock import Clock
from corianderhold.coordination.call import Answer, BodyError, CallContext
from corianderhold.coordination.entry.const import (
    DEPTH_MAX,
    OVERLOAD_RETRY_AFTER_MS,
    RESERVED_THREADS,
)
from corianderhold.coordination.entry.gate import Gate
from corianderhold.coordination.entry.request import WebRequest, read_body, read_request
from corianderhold.coordination.entry.response import (
    describe_status,
    respond_answer,
    respond_refusal,
)
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.once.keeper import CallRouter
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, ServiceName
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.settings.schema import parse_address, parse_name
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.routes import (
    RouteMatch,
    build_route_index,
    may_use,
)
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.server import (
    ENVIRON_SOCKET,
    Environ,
    StartResponse,
)

ANNOUNCE_PATH = "/_corianderhold/announce"
DRAIN_PATH = "/_corianderhold/drain"
ANNOUNCEMENT_BYTES_MAX = 4096
ANNOUNCEMENT_SCHEMA = Schema(
    {Required("service"): parse_name, Required("address"): parse_address}
)


class TargetRegistrar(Protocol):
    """Take the announcements of the local target."""

    def announce_target(self, service: ServiceName, address: Address) -> None:
        """Note that the target serves; repeated as its heartbeat."""

    def drain_target(self) -> None:
        """Note that the target takes no new work."""


class OutgoingApplication:
    """Route nested calls on behalf of the call that the target is running."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        calls: InFlightCalls,
        router: CallRouter,
        registrar: TargetRegistrar,
        watch: CallerWatch,
        clock: Clock,
        metrics: Metrics,
        threads: int,
    ) -> None:
        self._calls = calls
        self._router = router
        self._registrar = registrar
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
        path = environ["REQUEST_URI"]
        if path == ANNOUNCE_PATH:
            return self._announce(environ, start_response)
        if path == DRAIN_PATH:
            self._registrar.drain_target()
            return respond_empty(HTTPStatus.NO_CONTENT, start_response)
        call_id = CallId(os.urandom(16).hex())
        with self._gate as entered:
            if not entered:
                refusal = refuse_not_run(Reason.SHED, OVERLOAD_RETRY_AFTER_MS)
                return self._refuse(refusal, call_id, start_response)
            try:
                outcome = self._handle(environ, call_id)
            finally:
                self._watch.remove(call_id)
        if isinstance(outcome, Err):
            return self._refuse(outcome.err_value, call_id, start_response)
        self._metrics.increment("nested_answered")
        return respond_answer(outcome.ok_value, call_id, start_response)

    def _follow(self, configuration: Configuration) -> None:
        self._index = build_route_index(configuration)

    def _handle(self, environ: Environ, call_id: CallId) -> Result[Answer, Refusal]:
        request = read_request(environ)
        parent = self._calls.find_by_token(request.context_token or "")
        if parent is None:
            return Err(refuse_not_run(Reason.CONTEXT_UNKNOWN))
        if parent.context.depth + 1 >= DEPTH_MAX:
            return Err(refuse_not_run(Reason.DEPTH_EXCEEDED))
        found = self._index.find(request.method, request.path)
        if isinstance(found, Err):
            return Err(refuse_not_run(found.err_value))
        match = found.ok_value
        route = match.route
        organisation = parent.context.organisation
        if not may_use(route, organisation):
            return Err(refuse_not_run(Reason.ROUTE_FORBIDDEN))
        try:
            body = read_body(environ)
        except (BodyError, ValueError) as error:
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=str(error)))
        context = self._build_context(request, parent, match, call_id)
        retries = RetryBudget(min(parent.retries.split(), route.retry_budget))
        self._watch.add(call_id, environ[ENVIRON_SOCKET])
        outcome = self._router.route(context, body, retries)
        parent.retries.give_back(retries.left)
        return outcome

    def _build_context(
        self,
        request: WebRequest,
        parent: InFlightCall,
        match: RouteMatch,
        call_id: CallId,
    ) -> CallContext:
        """Build a nested call's context; all that matters comes from its parent."""
        root = parent.context
        route = match.route
        now = self._clock.read_monotonic()
        return CallContext(
            call_id=call_id,
            root_id=root.root_id,
            organisation=root.organisation,
            importance=root.importance,
            deadline_at=min(root.deadline_at, now + route.deadline_ms / 1000),
            depth=root.depth + 1,
            service=route.service,
            route=route.name,
            idempotent=route.idempotent,
            method=request.method,
            path=match.path + request.query,
            headers=request.headers,
            idempotency_key=request.idempotency_key,
        )

    def _announce(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            body = environ["wsgi.input"].read(ANNOUNCEMENT_BYTES_MAX)
            announcement = ANNOUNCEMENT_SCHEMA(json.loads(body))
        except (Invalid, ValueError) as error:
            detail = f"announcement: {error}"
            refusal = refuse_not_run(Reason.REQUEST_MALFORMED, detail=detail)
            return respond_refusal(refusal, CallId(""), start_response)
        service = ServiceName(announcement["service"])
        self._registrar.announce_target(service, announcement["address"])
        return respond_empty(HTTPStatus.NO_CONTENT, start_response)

    def _refuse(
        self, refusal: Refusal, call_id: CallId, start_response: StartResponse
    ) -> Iterable[bytes]:
        self._metrics.increment(f"nested_refused_{refusal.reason.value}")
        log_event(
            "nested_call_refused",
            call=call_id,
            verdict=refusal.run_state,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            detail=refusal.detail,
        )
        return respond_refusal(refusal, call_id, start_response)


def respond_empty(status: HTTPStatus, start_response: StartResponse) -> Iterable[bytes]:
    """Write a response without a body."""
    start_response(describe_status(status), [("Content-Length", "0")])
    return []
