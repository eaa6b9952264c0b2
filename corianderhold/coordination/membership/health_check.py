"""Ask the local target for its health."""

from enum import Enum
from http import HTTPStatus

from urllib3.exceptions import HTTPError

from corianderhold.clock import Clock
from corianderhold.protocol.headers import HeaderNames
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.paths import encode_target
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.web.connection import (
    TargetConnection,
    TargetRequest,
    build_request_head,
)
from corianderhold.transport.web.errors import AnswerError


class HealthAnswer(Enum):
    """
    What a target says of itself.

    A target that is UNNAMED is healthy but does not tell its id; with NOT_ASKED no
    health check is configured.
    """

    SERVES = "serves"
    UNNAMED = "unnamed"
    UNHEALTHY = "unhealthy"
    NO_ANSWER = "no_answer"
    NOT_ASKED = "not_asked"


class TargetHealthCheck:
    """Send health checks to the path that is configured for the target's service."""

    def __init__(
        self, holder: ConfigurationHolder, clock: Clock, names: HeaderNames
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._names = names

    def check(
        self, announcement: TargetAnnouncement, deadline_at: float
    ) -> HealthAnswer:
        """Return the answer of the target that sent a heartbeat."""
        path = self._holder.current.health_paths.get(announcement.service)
        if path is None or self._names.target_id is None:
            return HealthAnswer.NOT_ASKED
        connection = TargetConnection(announcement.address, self._clock)
        request = TargetRequest("GET", encode_target(path), (), b"", 0, deadline_at)
        try:
            connection.open()
            head = build_request_head(request, announcement.address)
            connection.send_request(head, request)
            response = connection.reader.read_head(request.method, deadline_at)
        except (AnswerError, HTTPError, OSError):
            return HealthAnswer.NO_ANSWER
        finally:
            connection.close()
        headers = {each.name.lower(): each.value for each in response.headers}
        if response.status != HTTPStatus.OK or self._names.leaving.lower() in headers:
            return HealthAnswer.UNHEALTHY
        name = headers.get(self._names.target_id.lower())
        if name is None:
            return HealthAnswer.UNNAMED
        is_named = name == announcement.target_id
        return HealthAnswer.SERVES if is_named else HealthAnswer.UNHEALTHY
