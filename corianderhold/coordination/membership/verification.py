"""Verify that a target which announces itself to a start in doubt has not left."""

import threading
from collections.abc import Callable
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.membership.const import (
    HEALTH_CHECK_TIMEOUT_S,
    TIMELY_HEARTBEAT_S,
    UNNAMED_HEARTBEAT_S,
)
from corianderhold.coordination.membership.health_check import HealthAnswer
from corianderhold.log import log_event, log_warning
from corianderhold.state.membership.target import (
    TargetAnnouncement,
    TargetStart,
    identify_start,
)


class HealthCheck(Protocol):
    """Check the health of a target."""

    def check(
        self, announcement: TargetAnnouncement, deadline_at: float
    ) -> HealthAnswer:
        """Return what the target that sent a heartbeat answers until a deadline."""


class TargetVerifier:
    """
    Ask a target itself whether it has left, as its heartbeat may have been held up.

    Only an answer to a check that was sent after this start of the daemon shows it.
    The check follows the first heartbeat if that is in time, otherwise the second: more
    than TIMELY_HEARTBEAT_S after `started_at`, the start of this process, a first one
    is late, and a target that has left may send no other. A target that is cold has
    just started, so that its first heartbeat is in time at any moment. A healthy target
    that does not name itself is not checked again; it is believed with its first
    heartbeat from UNNAMED_HEARTBEAT_S on. Checks are sent only between `begin` and
    `end`. Any thread may call.
    """

    def __init__(
        self,
        health: HealthCheck,
        clock: Clock,
        on_verified: Callable[[TargetAnnouncement], None],
        started_at: float,
    ) -> None:
        self._health = health
        self._clock = clock
        self._on_verified = on_verified
        self._started_at = started_at
        self._lock = threading.Lock()
        self._start: TargetStart | None = None
        self._sequence: int | None = None
        self._unnamed: TargetStart | None = None
        self._due: TargetAnnouncement | None = None
        self._is_enabled = False
        self._is_requested = False
        self._is_checking = False

    @property
    def is_checking(self) -> bool:
        """Return whether a check is in progress."""
        return self._is_checking

    def begin(self) -> None:
        """Check the target from now on, at once if it has sent a heartbeat in time."""
        self._is_enabled = True
        self.check_due()

    def end(self) -> None:
        """Send no further check."""
        self._is_enabled = False

    def handle_heartbeat(self, announcement: TargetAnnouncement) -> None:
        """Check the target that has sent a heartbeat, without waiting."""
        age_s = self._clock.read_monotonic() - self._started_at
        if identify_start(announcement) == self._unnamed:
            if age_s >= UNNAMED_HEARTBEAT_S:
                self._on_verified(announcement)
            return
        with self._lock:
            if not self._record_heartbeat(announcement, age_s):
                return
            self._due = announcement
        self.check_due()

    def check_due(self) -> None:
        """Check the target that has not been checked for want of a configuration."""
        with self._lock:
            if self._due is None or not self._is_enabled:
                return
            self._is_requested = True
            if self._is_checking:
                return
            self._is_checking = True
        threading.Thread(target=self._run, name="target-check", daemon=True).start()

    def _record_heartbeat(self, announcement: TargetAnnouncement, age_s: float) -> bool:
        """Return whether a check is due; a repeated heartbeat does not count."""
        start, sequence = identify_start(announcement), announcement.sequence
        if start != self._start:
            self._start, self._sequence = start, sequence
            return age_s <= TIMELY_HEARTBEAT_S or announcement.cold_s > 0
        known = self._sequence
        if sequence is not None and known is not None and sequence <= known:
            return False
        self._sequence = sequence
        return True

    def _run(self) -> None:
        while (announcement := self._take_due()) is not None:
            try:
                self._check(announcement)
            except Exception as error:  # noqa: BLE001
                # The next heartbeat requests another check.
                log_warning("target_check_failed", error=repr(error))

    def _take_due(self) -> TargetAnnouncement | None:
        with self._lock:
            if not (self._is_requested and self._is_enabled and self._due):
                self._is_checking = False
                return None
            self._is_requested = False
            return self._due

    def _check(self, announcement: TargetAnnouncement) -> None:
        deadline_at = self._clock.read_monotonic() + HEALTH_CHECK_TIMEOUT_S
        answer = self._health.check(announcement, deadline_at)
        if answer is HealthAnswer.NOT_ASKED:
            return
        log_event("target_checked", target=announcement.target_id, answer=answer.value)
        with self._lock:
            if self._due is announcement:
                self._due = None
            if answer is HealthAnswer.UNNAMED:
                self._unnamed = identify_start(announcement)
        if answer is HealthAnswer.SERVES:
            self._on_verified(announcement)
