"""Handle requests for fleet status, drain, health and metrics."""

import math

from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import (
    JsonObject,
    evacuations_to_json,
    format_metrics,
    heard_to_json,
    member_to_json,
)
from corianderhold.admin.model import (
    Drain,
    EvacuationList,
    Identity,
    ReadinessSource,
    StreamView,
)
from corianderhold.admin.request import answer_errors, write_json, write_text
from corianderhold.clock import Clock
from corianderhold.coordination.membership.errors import DepartureUnconfirmedError
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.state.configuration.const import MAX_COUNTED_VERSION
from corianderhold.state.configuration.entities import fault_to_json
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import MemberDirectory


class StatusResource:
    """Handle requests for /v1/status."""

    exposed = True

    def __init__(
        self,
        identity: Identity,
        holder: ConfigurationHolder,
        stream: StreamView,
        members: MemberDirectory,
        drain: Drain,
        evacuations: EvacuationList,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._holder = holder
        self._stream = stream
        self._members = members
        self._drain = drain
        self._evacuations = evacuations
        self._metrics = metrics
        self._clock = clock

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """Return this daemon's view of the fleet."""
        now_s = self._clock.read_monotonic()
        head = self._stream.read_head()
        members = [member_to_json(member) for member in self._members.list_members()]
        response_body: JsonObject = {
            "instance": self._identity.instance,
            "domain": self._identity.domain,
            "draining": self._drain.is_draining(),
            "in_flight": self._metrics.read_gauges().get("owner_in_flight"),
            "evacuations": evacuations_to_json(self._evacuations.list_evacuations()),
            "configuration": {
                "version": self._holder.current.version,
                "next_offset": head.next_offset,
                "digest": head.digest.hex(),
                "verified_age_s": read_view_age(self._holder, self._clock),
                "faults": [
                    fault_to_json(fault) for fault in self._holder.current.faults
                ],
            },
            "members": sorted(members, key=lambda member: member["instance"]),
            "versions_heard": [
                heard_to_json(heard, now_s) for heard in self._stream.list_peer_heads()
            ],
        }
        return write_json(200, response_body)


class DrainResource:
    """Handle requests for /v1/drain."""

    exposed = True

    def __init__(self, drain: Drain) -> None:
        self._drain = drain

    @answer_errors
    def POST(self) -> bytes:  # noqa: N802
        """Drain the local target."""
        log_event("drain_requested")
        try:
            self._drain.drain()
        except DepartureUnconfirmedError as error:
            message = f"the target drains, but a restart may forget it: {error}"
            raise ApiError(503, ErrorCode.DRAIN_UNCONFIRMED, message) from error
        return write_json(202, {"draining": True})


class HealthResource:
    """Handle requests for /health, without authentication."""

    exposed = True

    def __init__(
        self, readiness: ReadinessSource, holder: ConfigurationHolder, drain: Drain
    ) -> None:
        self._readiness = readiness
        self._holder = holder
        self._drain = drain

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """Return 200 if the daemon accepts requests, else 503."""
        version = self._holder.current.version
        draining = self._drain.is_draining()
        ready = self._readiness.is_ready() and not draining
        response_body = {"ready": ready, "version": version, "draining": draining}
        return write_json(200 if ready else 503, response_body)


class MetricsResource:
    """Handle requests for /metrics, without authentication."""

    exposed = True

    def __init__(
        self, metrics: Metrics, holder: ConfigurationHolder, clock: Clock
    ) -> None:
        self._metrics = metrics
        self._holder = holder
        self._clock = clock

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """Return counters, gauges and durations in the Prometheus text format."""
        gauges = self._metrics.read_gauges()
        configuration = self._holder.current
        version = min(configuration.version, MAX_COUNTED_VERSION)
        gauges["configuration_version"] = version
        gauges["configuration_faults"] = len(configuration.faults)
        age_s = read_view_age(self._holder, self._clock)
        if age_s is not None:
            gauges["configuration_view_age_seconds"] = age_s
        return write_text(format_metrics(self._metrics, gauges))


def read_view_age(holder: ConfigurationHolder, clock: Clock) -> float | None:
    """Return the configuration view's age in seconds, or None if never verified."""
    age_s = clock.read_monotonic() - holder.verified_at
    return None if math.isinf(age_s) else round(age_s, 3)
