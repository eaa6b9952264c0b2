"""Define what a deployment may bring in place of the product's own."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.entry.response import (
    RetryAfterFormat,
    format_whole_seconds,
)
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.store.model import Log
from corianderhold.settings.model import Settings
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.store.client import HttpLog
from corianderhold.transport.web.server import WSGIApplication


class TargetRegistrar(Protocol):
    """Take what the target beside the daemon says of itself."""

    def announce_target(self, announcement: TargetAnnouncement) -> None:
        """Take one heartbeat."""

    def withdraw_target(self, target_id: str | None, started: int | None) -> None:
        """Take the end of a target."""


def open_http_log(settings: Settings, clock: Clock) -> Log:
    """Return the log behind the product's own HTTP interface."""
    return HttpLog(f"http://{settings.store}", clock)


@dataclass(frozen=True)
class Deployment:
    """
    The names, the log and the pages of one deployment.

    `build_announce` builds the application of the announce listener, and
    `build_readiness` that of the readiness listener; both are None where the
    deployment has no such listener.
    """

    headers: HeaderNames = HeaderNames()
    format_retry_after: RetryAfterFormat = format_whole_seconds
    open_log: Callable[[Settings, Clock], Log] = open_http_log
    build_announce: Callable[[TargetRegistrar], WSGIApplication] | None = None
    build_readiness: Callable[[Callable[[], bool]], WSGIApplication] | None = None
