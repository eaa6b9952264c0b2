"""Define the interfaces that a deployment can replace."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.entry.response import (
    RetryAfterFormat,
    format_whole_seconds,
)
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.settings.model import Settings
from corianderhold.state.configuration.routes import PathMatching
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.store.client import HttpLog
from corianderhold.transport.web.server import WSGIApplication


class TargetRegistrar(Protocol):
    """Receive announcements of the local target."""

    def announce_target(self, announcement: TargetAnnouncement) -> None:
        """Process a heartbeat; raise DepartureUnconfirmedError if it drains."""

    def withdraw_target(self, target_id: str | None, started: int | None) -> None:
        """Process the withdrawal of a target; raise DepartureUnconfirmedError."""


def open_http_log(settings: Settings, clock: Clock) -> AppendOnlyLog:
    """Return a client of the append-only log with the default HTTP interface."""
    return HttpLog(f"http://{settings.store}", clock)


@dataclass(frozen=True)
class Deployment:
    """
    The header names, path matching, log client and endpoints of a deployment.

    `build_announce` builds the application of the announce listener and
    `build_readiness` that of the readiness listener; each is None if the deployment
    has no such listener.
    """

    headers: HeaderNames = HeaderNames()
    format_retry_after: RetryAfterFormat = format_whole_seconds
    path_matching: PathMatching = PathMatching.CANONICAL
    open_log: Callable[[Settings, Clock], AppendOnlyLog] = open_http_log
    build_announce: Callable[[TargetRegistrar], WSGIApplication] | None = None
    build_readiness: Callable[[Callable[[], bool]], WSGIApplication] | None = None
