"""Serve root requests of callers, who authenticate by a key."""

import os
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, Response
from corianderhold.coordination.entry.const import (
    OVERLOAD_RETRY_AFTER_MS,
    STARTUP_RETRY_AFTER_MS,
)
from corianderhold.coordination.entry.request import WebRequest
from corianderhold.coordination.entry.request_handler import (
    Origin,
    ReceivedRequest,
    RequestHandler,
    build_context,
    compute_deadline,
    record_cold_callee,
)
from corianderhold.coordination.entry.split import SplitChooser
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.registry import InFlightCalls
from corianderhold.coordination.rate.limiter import RateLimiter
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import OrganisationId, RootId
from corianderhold.log import log_event
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import (
    Configuration,
    Importance,
    IsolatedBehaviour,
    Route,
)
from corianderhold.state.configuration.routes import (
    PathMatching,
    RouteMatch,
    build_route_index,
    may_use_route,
)
from corianderhold.state.keys.authentication import authenticate_caller
from corianderhold.transport.web.server import Environ, StartResponse

ANONYMOUS = OrganisationId("")


@dataclass(frozen=True)
class AdmittedRequest:
    """An admitted request: its route, organisation and importance."""

    match: RouteMatch
    organisation: OrganisationId
    importance: Importance


class CallerApplication:
    """
    Identify the caller, charge its organisation and route the request.

    `running` are the local target's calls in flight if its nested calls arrive on this
    listener without a context token, else None.
    """

    def __init__(
        self,
        intake: RequestHandler,
        holder: ConfigurationHolder,
        limiter: RateLimiter,
        breaker: CalleeCircuitBreaker,
        clock: Clock,
        running: InFlightCalls | None = None,
        matching: PathMatching = PathMatching.CANONICAL,
    ) -> None:
        self._intake = intake
        self._running = running
        self._holder = holder
        self._limiter = limiter
        self._breaker = breaker
        self._clock = clock
        self._matching = matching
        self._index = build_route_index(holder.current, matching)
        self._splits = SplitChooser(Random(os.urandom(16)))
        holder.add_listener(self._apply_configuration)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        return self._intake.serve(
            environ, start_response, self._handle, self._may_be_nested
        )

    def stop_admitting(self) -> None:
        """Refuse new requests because this daemon is stopping."""
        self._intake.semaphore.close()

    def count_in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._intake.semaphore.count

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._index = build_route_index(configuration, self._matching)
        self._splits.apply_configuration(configuration)

    def _may_be_nested(self, environ: Environ) -> bool:
        """
        Return whether a request may be a nested call of the local target.

        A caller of an anonymous route can't be told apart. It may then use the reserved
        capacity, but gets no higher importance.
        """
        if not self._running:
            return False
        host, method = environ.get("HTTP_HOST", ""), environ["REQUEST_METHOD"]
        path = environ["REQUEST_URI"].partition("?")[0]
        found = self._index.find(host, method, path)
        return isinstance(found, Ok) and found.ok_value.route.anonymous

    def _handle(self, arrival: ReceivedRequest) -> Result[Response, Refusal]:
        admitted = self._admit(arrival)
        if isinstance(admitted, Err):
            return admitted
        admission = admitted.ok_value
        route = admission.match.route
        origin = Origin(
            root_id=RootId(arrival.call_id),
            organisation=admission.organisation,
            importance=int(admission.importance),
            deadline_at=compute_deadline(arrival, route),
            depth=0,
        )
        service = self._splits.choose(route)
        context = build_context(arrival, admission.match, service, origin)
        self._log_admission(context)
        retries = RetryBudget(route.retry_budget)
        outcome = self._intake.route(arrival.environ, context, retries)
        if self._running and route.anonymous:
            record_cold_callee(self._breaker, outcome)
        return outcome

    def _log_admission(self, context: CallContext) -> None:
        configuration_age_s = self._clock.read_monotonic() - self._holder.verified_at
        log_event(
            "request_admitted",
            call=context.call_id,
            request=context.request_id,
            organisation=context.organisation,
            importance=context.importance,
            route=context.route,
            service=context.service,
            configuration=self._holder.current.version,
            configuration_age_s=configuration_age_s,
        )

    def _log_rate_refusal(
        self, arrival: ReceivedRequest, organisation: OrganisationId, route: Route
    ) -> None:
        log_event(
            "rate_refused",
            call=arrival.call_id,
            request=arrival.request.request_id,
            organisation=organisation,
            route=route.name,
            configuration=self._holder.current.version,
        )

    def _admit(self, arrival: ReceivedRequest) -> Result[AdmittedRequest, Refusal]:
        """Identify the caller, match the route and charge the rate limit."""
        request = arrival.request
        configuration = self._holder.current
        if configuration.is_empty:
            reason = Reason.CONFIGURATION_MISSING
            return Err(refuse_not_run(reason, STARTUP_RETRY_AFTER_MS))
        found = self._index.find(request.host, request.method, request.path)
        if isinstance(found, Err):
            return Err(refuse_not_run(found.err_value))
        match = found.ok_value
        if match.route.anonymous:
            refusal = self._check_access(request, ANONYMOUS, match.route)
            if refusal is not None:
                return Err(refusal)
            return Ok(AdmittedRequest(match, ANONYMOUS, match.route.importance))
        identified = authenticate_caller(
            configuration, request.key, self._clock.read_wall()
        )
        if isinstance(identified, Err):
            return Err(refuse_not_run(identified.err_value))
        organisation = identified.ok_value.organisation
        refusal = self._check_access(request, organisation, match.route)
        if refusal is not None:
            return Err(refusal)
        charged = self._limiter.charge(organisation, self._clock.read_monotonic())
        if isinstance(charged, Err):
            if charged.err_value.reason is Reason.RATE_EXCEEDED:
                self._log_rate_refusal(arrival, organisation, match.route)
            return charged
        importance = find_importance(configuration, organisation, match.route)
        return Ok(AdmittedRequest(match, organisation, importance))

    def _check_access(
        self, request: WebRequest, organisation: OrganisationId, route: Route
    ) -> Refusal | None:
        """Return the refusal of a request that may not use the route, or None."""
        if request.key and request.key in request.path + request.query:
            return refuse_not_run(
                Reason.REQUEST_MALFORMED,
                detail="a key must not stand in the address",
            )
        if not route.anonymous and not may_use_route(route, organisation):
            return refuse_not_run(Reason.ROUTE_FORBIDDEN)
        age_s = self._clock.read_monotonic() - self._holder.verified_at
        refuses = route.isolated is IsolatedBehaviour.REFUSE
        if refuses and age_s > route.isolated_after_s:
            return refuse_not_run(Reason.VIEW_TOO_OLD, OVERLOAD_RETRY_AFTER_MS)
        return None


def find_importance(
    configuration: Configuration, organisation: OrganisationId, route: Route
) -> Importance:
    """Return the organisation's importance if it has one, else the route's."""
    known = configuration.organisations.get(organisation)
    if known is None or known.importance is None:
        return route.importance
    return known.importance
