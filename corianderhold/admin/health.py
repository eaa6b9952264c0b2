"""Serve health and metrics until the administration API takes their place."""

import json
from collections.abc import Iterable

from corianderhold.metrics import Metrics
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import Members
from corianderhold.transport.web.server import Environ, StartResponse


class HealthApplication:
    """Answer /health and /metrics as a WSGI application."""

    def __init__(
        self, holder: ConfigurationHolder, members: Members, metrics: Metrics
    ) -> None:
        self._holder = holder
        self._members = members
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        if environ["PATH_INFO"] == "/metrics":
            counters = self._metrics.read_counters()
            lines = [f"{name}={value}\n" for name, value in sorted(counters.items())]
            body = "".join(lines).encode()
        else:
            health = {
                "version": self._holder.current.version,
                "members": len(self._members.list_members()),
            }
            body = json.dumps(health).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]
