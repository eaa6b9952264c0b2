"""Take root requests in from callers, who show a key."""

import os
from collections.abc import Iterable
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import Answer
from corianderhold.coordination.entry.const import OVERLOAD_RETRY_AFTER_MS
from corianderhold.coordination.entry.intake import Intake, Origin, build_context
from corianderhold.coordination.entry.request import WebRequest, read_request
from corianderhold.coordination.entry.split import SplitChooser
from corianderhold.coordination.rate.limiter import RateLimiter
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, RootId
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
from corianderhold.transport.web.server import Environ, StartResponse


class CallerApplication:
    """Identify the caller, charge its organisation and route the request."""

    def __init__(
        self,
        intake: Intake,
        holder: ConfigurationHolder,
        limiter: RateLimiter,
        clock: Clock,
    ) -> None:
        self._intake = intake
        self._holder = holder
        self._limiter = limiter
        self._clock = clock
        self._index = build_route_index(holder.current)
        self._splits = SplitChooser(Random(os.urandom(16)))
        holder.add_listener(self._follow)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        return self._intake.serve(environ, start_response, self._handle)

    def stop_admitting(self) -> None:
        """Refuse new requests, because this daemon is about to end."""
        self._intake.gate.close()

    def count_in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self._intake.gate.count

    def _follow(self, configuration: Configuration) -> None:
        self._index = build_route_index(configuration)
        self._splits.follow(configuration)

    def _handle(self, environ: Environ, call_id: CallId) -> Result[Answer, Refusal]:
        request = read_request(environ)
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        caller, match = admitted.ok_value
        route = match.route
        origin = Origin(
            root_id=RootId(call_id),
            organisation=caller.organisation,
            importance=int(route.importance),
            deadline_at=self._clock.read_monotonic() + route.deadline_ms / 1000,
            depth=0,
        )
        service = self._splits.choose(route)
        context = build_context(request, match, service, origin, call_id)
        return self._intake.route(environ, context, RetryBudget(route.retry_budget))

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
        found = self._index.find(request.host, request.method, request.path)
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
        refuses = route.isolated is IsolatedBehaviour.REFUSE
        if refuses and age_s > route.isolated_after_s:
            return refuse_not_run(Reason.VIEW_TOO_OLD, OVERLOAD_RETRY_AFTER_MS)
        return None
