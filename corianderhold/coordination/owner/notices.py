"""Track what the local target says of itself in its responses."""

import threading
from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.coordination.owner.headers import find_header
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import TargetStatus

LEAVING_VALUE = "1"
TargetKey = tuple[str | None, int | None, Address | None]


@dataclass(frozen=True, slots=True)
class ResponseNotice:
    """
    What one response says of its target.

    `rate_limit` is the number of calls per second that the target accepts from all
    daemons together, or None if it names no limit.
    """

    rate_limit: float | None = None
    leaving: bool = False


NO_NOTICE = ResponseNotice()


class TargetNotices:
    """Track and log the notices of one start of the local target; thread-safe."""

    def __init__(self, clock: Clock, names: HeaderNames) -> None:
        self._clock = clock
        self._names = names
        self._lock = threading.Lock()
        self._target: TargetKey | None = None
        self._notice = NO_NOTICE

    def read_rate_limit(self) -> float:
        """Return the limit in calls per second that is in force; 0 for none."""
        return self._notice.rate_limit or 0.0

    def observe(self, target: TargetStatus, headers: tuple[Header, ...]) -> None:
        """Record the notice of a response."""
        notice = parse_notice(headers, self._names)
        key = identify_target(target)
        with self._lock:
            known = self._notice if key == self._target else NO_NOTICE
            self._target, self._notice = key, notice
        if notice != known:
            log_event(
                "target_notice_changed",
                target=target.target_id,
                rate_limit=notice.rate_limit,
                leaving=notice.leaving,
            )


def identify_target(target: TargetStatus) -> TargetKey:
    """Return the key of one start of a target."""
    return target.target_id, target.started, target.address


def parse_notice(headers: tuple[Header, ...], names: HeaderNames) -> ResponseNotice:
    """Return the notice in the headers of a response; a malformed limit is ignored."""
    leaving = find_header(headers, names.leaving) == LEAVING_VALUE
    return ResponseNotice(parse_rate_limit(headers, names), leaving)


def parse_rate_limit(headers: tuple[Header, ...], names: HeaderNames) -> float | None:
    """Return the named limit in calls per second, or None."""
    text = find_header(headers, names.rate_limit)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = -1.0
    if 0 <= limit < float("inf"):
        return limit
    log_warning("target_rate_limit_malformed", value=text[:40])
    return None
