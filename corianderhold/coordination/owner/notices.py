"""Apply what the local target says of itself in its responses."""

import threading
from dataclasses import replace
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.owner.headers import find_header
from corianderhold.coordination.owner.policy import TargetSource
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header, TargetNotice
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import TargetStatus

LEAVING_VALUE = "1"
TargetKey = tuple[str | None, int | None, Address | None]


class LimitedAdmission(Protocol):
    """Limit the calls per second to the local target."""

    def limit_rate(self, rate: float | None) -> None:
        """Limit the calls per second to the target; None ends the limit."""


NO_NOTICE = TargetNotice()


class TargetNotices:
    """
    Apply the notices of the local target, one start at a time.

    A limit is set at the admission, and a target that leaves is drained. A response
    raises or ends a limit only if its call was dispatched after the limit had last been
    named: the target may have sent an earlier one before it named the limit. What an
    entry knows from an earlier start of this daemon counts until the first response.
    Any thread may call.
    """

    def __init__(
        self,
        source: TargetSource,
        admission: LimitedAdmission,
        clock: Clock,
        names: HeaderNames,
    ) -> None:
        self._source = source
        self._admission = admission
        self._clock = clock
        self._names = names
        self._lock = threading.Lock()
        self._target: TargetKey | None = None
        self._notice = NO_NOTICE
        self._named_at = float("-inf")
        self._heard = False

    def read_rate_limit(self) -> float:
        """Return the limit in calls per second that is in force; 0 for none."""
        return self._notice.rate_limit or 0.0

    def read(self) -> TargetNotice | None:
        """Return what the target said of itself, or None if it said nothing."""
        return None if self._notice == NO_NOTICE else self._notice

    def follow(self, target: TargetStatus) -> None:
        """End the limit of an earlier start when `target` is a new one."""
        if identify_target(target) == self._target:
            return
        with self._lock:
            if identify_target(target) != self._target:
                self._begin(target)

    def observe(
        self, target: TargetStatus, headers: tuple[Header, ...], dispatched_at: float
    ) -> None:
        """Apply the notice of a response to a call dispatched at `dispatched_at`."""
        notice = parse_notice(headers, self._names)
        if self._heard and notice == NO_NOTICE and self._notice == NO_NOTICE:
            return
        with self._lock:
            if identify_target(target) == self._target:
                self._heard = True
                self._apply(target, notice, dispatched_at)

    def adopt(self, target: TargetStatus, notice: TargetNotice) -> None:
        """Apply what an entry knows of the target unless a response said otherwise."""
        with self._lock:
            if not notice.target or describe_start(target) != notice.target:
                return
            known = self._notice
            rate_limit = known.rate_limit
            if rate_limit is None and notice.rate_limit is not None and not self._heard:
                rate_limit = notice.rate_limit
                self._named_at = self._clock.read_monotonic()
            self._change(target, rate_limit, notice.leaving or known.leaving)

    def _begin(self, target: TargetStatus) -> None:
        self._target = identify_target(target)
        if self._notice.rate_limit is not None:
            self._admission.limit_rate(None)
        self._notice = NO_NOTICE
        self._heard = False

    def _apply(
        self, target: TargetStatus, notice: TargetNotice, dispatched_at: float
    ) -> None:
        known = self._notice
        rate_limit = notice.rate_limit
        if is_relaxed(notice, known) and dispatched_at < self._named_at:
            rate_limit = known.rate_limit
        elif rate_limit is not None:
            self._named_at = self._clock.read_monotonic()
        # A target that leaves does not come back in the same start.
        self._change(target, rate_limit, notice.leaving or known.leaving)

    def _change(
        self, target: TargetStatus, rate_limit: float | None, leaving: bool
    ) -> None:
        """Apply and log what differs from the notice in force."""
        known, notice = self._notice, TargetNotice(rate_limit, leaving)
        if notice != NO_NOTICE:
            notice = replace(notice, target=describe_start(target))
        if notice == known:
            return
        self._notice = notice
        if notice.rate_limit != known.rate_limit:
            self._admission.limit_rate(notice.rate_limit)
        if notice.leaving and not known.leaving:
            self._source.drain_start(target)
        log_event(
            "target_notice_changed",
            target=target.target_id,
            rate_limit=notice.rate_limit,
            leaving=notice.leaving,
        )


def is_relaxed(notice: TargetNotice, known: TargetNotice) -> bool:
    """Return whether a notice raises or ends the limit that is known."""
    if known.rate_limit is None:
        return False
    return notice.rate_limit is None or notice.rate_limit > known.rate_limit


def identify_target(target: TargetStatus) -> TargetKey:
    """Return the key of one start of a target."""
    return target.target_id, target.started, target.address


def describe_start(target: TargetStatus) -> str:
    """Return the name of a target's start for other daemons; empty without an id."""
    if target.target_id is None:
        return ""
    return f"{target.target_id}/{'' if target.started is None else target.started}"


def parse_notice(headers: tuple[Header, ...], names: HeaderNames) -> TargetNotice:
    """Return the notice in the headers of a response; a malformed limit is ignored."""
    leaving = find_header(headers, names.leaving) == LEAVING_VALUE
    return TargetNotice(parse_rate_limit(headers, names), leaving)


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
