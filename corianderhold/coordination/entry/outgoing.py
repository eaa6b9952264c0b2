"""Serve the local target: its nested calls, announcements and drain requests."""

import os
from collections.abc import Iterable
from http import HTTPStatus
from random import Random
from typing import Protocol

from result import Err, Result
from voluptuous import Any, Invalid, Optional, Required, Schema

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, Response
from corianderhold.coordination.entry.const import DEPTH_MAX
from corianderhold.coordination.entry.request_handler import (
    Origin,
    ReceivedRequest,
    RequestHandler,
    build_context,
    compute_deadline,
    record_cold_callee,
)
from corianderhold.coordination.entry.response import (
    describe_status,
    format_whole_seconds,
    write_refusal,
)
from corianderhold.coordination.entry.split import SplitChooser
from corianderhold.coordination.membership.errors import DepartureUnconfirmedError
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, ServiceName
from corianderhold.log import log_event
from corianderhold.nesting import load_json
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.settings.schema import parse_address, parse_name
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Route
from corianderhold.state.configuration.routes import (
    PathMatching,
    build_route_index,
    may_use_route,
)
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.web.server import Environ, StartResponse

ANNOUNCE_PATH = "/_corianderhold/announce"
DRAIN_PATH = "/_corianderhold/drain"
ANNOUNCEMENT_BYTES_MAX = 4096
ANNOUNCEMENT_SCHEMA = Schema(
    {
        Required("service"): parse_name,
        Required("address"): parse_address,
        Optional("id", default=None): Any(None, parse_name),
        Optional("restarted", default=False): bool,
    }
)


class TargetRegistrar(Protocol):
    """Register the announcements of the local target."""

    def announce_target(self, announcement: TargetAnnouncement) -> None:
        """Record a heartbeat of the target."""

    def drain_target(self) -> None:
        """Record that the target takes no calls; raise DepartureUnconfirmedError."""

    def withdraw_target(self, target_id: str | None, started: int | None) -> None:
        """Record that a start of the target has ended."""


class OutgoingApplication:
    """Route nested calls on behalf of the call that the target is running."""

    def __init__(
        self,
        intake: RequestHandler,
        holder: ConfigurationHolder,
        calls: InFlightCalls,
        registrar: TargetRegistrar,
        breaker: CalleeCircuitBreaker,
        clock: Clock,
        matching: PathMatching = PathMatching.CANONICAL,
    ) -> None:
        self._intake = intake
        self._calls = calls
        self._registrar = registrar
        self._breaker = breaker
        self._clock = clock
        self._target_starts = 0
        self._matching = matching
        self._index = build_route_index(holder.current, matching)
        self._splits = SplitChooser(Random(os.urandom(16)))
        holder.add_listener(self._apply_configuration)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        path = environ["REQUEST_URI"]
        if path == ANNOUNCE_PATH:
            return self._announce(environ, start_response)
        if path == DRAIN_PATH:
            return self._drain(start_response)
        return self._intake.serve(environ, start_response, self._handle)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._index = build_route_index(configuration, self._matching)
        self._splits.apply_configuration(configuration)

    def _handle(self, arrival: ReceivedRequest) -> Result[Response, Refusal]:
        request = arrival.request
        parent = self._calls.find_by_token(request.context_token or "")
        if parent is None:
            return Err(refuse_not_run(Reason.CONTEXT_UNKNOWN))
        if parent.context.depth + 1 >= DEPTH_MAX:
            return Err(refuse_not_run(Reason.DEPTH_EXCEEDED))
        found = self._index.find(request.host, request.method, request.path)
        if isinstance(found, Err):
            return Err(refuse_not_run(found.err_value))
        match = found.ok_value
        if not may_use_route(match.route, parent.context.organisation):
            return Err(refuse_not_run(Reason.ROUTE_FORBIDDEN))
        own_deadline = compute_deadline(arrival, match.route)
        origin = self._inherit_origin(parent.context, own_deadline)
        service = self._splits.choose(match.route)
        context = build_context(arrival, match, service, origin)
        return self._route(arrival.environ, context, parent, match.route)

    def _inherit_origin(self, parent: CallContext, own_deadline: float) -> Origin:
        """Return a nested call's origin; it inherits everything from its parent."""
        return Origin(
            root_id=parent.root_id,
            organisation=parent.organisation,
            importance=parent.importance,
            deadline_at=min(parent.deadline_at, own_deadline),
            depth=parent.depth + 1,
        )

    def _route(
        self,
        environ: Environ,
        context: CallContext,
        parent: InFlightCall,
        route: Route,
    ) -> Result[Response, Refusal]:
        """Route a nested call with a share of its parent's retry budget."""
        share = parent.retries.split()
        allowed = min(share, route.retry_budget)
        retries = RetryBudget(allowed)
        started_at = self._clock.read_monotonic()
        outcome = self._intake.route(environ, context, retries)
        record_cold_callee(self._breaker, outcome)
        parent.record_nested(self._clock.read_monotonic() - started_at)
        parent.retries.refund(share - allowed + retries.left)
        return outcome

    def _drain(self, start_response: StartResponse) -> Iterable[bytes]:
        try:
            self._registrar.drain_target()
        except DepartureUnconfirmedError as error:
            log_event("departure_unconfirmed", error=str(error))
            return respond_empty(HTTPStatus.SERVICE_UNAVAILABLE, start_response)
        return respond_empty(HTTPStatus.NO_CONTENT, start_response)

    def _announce(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            body = environ["wsgi.input"].read(ANNOUNCEMENT_BYTES_MAX)
            announcement = ANNOUNCEMENT_SCHEMA(load_json(body))
        except (Invalid, ValueError, RecursionError) as error:
            detail = f"announcement: {error}"
            refusal = refuse_not_run(Reason.REQUEST_MALFORMED, detail=detail)
            return write_refusal(
                refusal, CallId(""), start_response, format_whole_seconds
            )
        self._target_starts += announcement["restarted"]
        target_id = announcement["id"]
        self._registrar.announce_target(
            TargetAnnouncement(
                ServiceName(announcement["service"]),
                announcement["address"],
                target_id=target_id,
                started=self._target_starts if target_id is None else None,
            )
        )
        return respond_empty(HTTPStatus.NO_CONTENT, start_response)


def respond_empty(status: HTTPStatus, start_response: StartResponse) -> Iterable[bytes]:
    """Write a response without a body."""
    start_response(describe_status(status), [("Content-Length", "0")])
    return []
