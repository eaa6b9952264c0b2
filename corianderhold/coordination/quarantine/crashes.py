"""Tell a crash of the local target from other failures of a call."""

import threading
import time
from collections.abc import Callable

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    CRASH_CHECK_PAUSE_S,
    CRASH_CHECKS,
    CRASH_MEMORY_S,
    NO_CRASH_MEMORY_S,
)
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import TargetStatus

RefusalCheck = Callable[[Address], bool]
TargetStart = tuple[str | None, int | None, Address | None]


class CrashDetector:
    """
    Detect that the process of the local target has ended without notice.

    A lost response or a reset connection is no crash: the target still accepts
    connections. Neither is the end of a target that drains or has left.
    """

    def __init__(
        self,
        read_target: Callable[[], TargetStatus],
        refuses_connections: RefusalCheck,
        clock: Clock,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._read_target = read_target
        self._refuses_connections = refuses_connections
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._suspended: TargetStart | None = None
        self._checked: TargetStart | None = None
        self._checked_at = float("-inf")
        self._has_crashed = False

    def record_suspension(self, target: TargetStatus) -> None:
        """Record that this daemon itself has suspended a start of the target."""
        self._suspended = identify(target)

    def record_response(self, dispatched_at: float) -> bool:
        """Return whether a response shows that a crashed target runs again."""
        if not self._has_crashed or dispatched_at <= self._checked_at:
            return False
        with self._lock:
            self._has_crashed = False
            self._checked = None
        return True

    def has_crashed(self, target: TargetStatus) -> bool:
        """Return whether this start of the target crashed, after a call has failed."""
        start = identify(target)
        with self._lock:
            now = self._clock.read_monotonic()
            memory_s = CRASH_MEMORY_S if self._has_crashed else NO_CRASH_MEMORY_S
            if start != self._checked or now - self._checked_at > memory_s:
                self._has_crashed = self._check(target)
                self._checked, self._checked_at = start, self._clock.read_monotonic()
            return self._has_crashed

    def _check(self, target: TargetStatus) -> bool:
        if target.address is None or not self._is_expected(target):
            return False
        for number in range(CRASH_CHECKS):
            if number:
                self._sleep(CRASH_CHECK_PAUSE_S)
            if self._refuses_connections(target.address):
                return True
        return False

    def _is_expected(self, target: TargetStatus) -> bool:
        """Return whether the target should be running."""
        current = self._read_target()
        if identify(current) == identify(target):
            return current.state is TargetState.SERVING
        return self._suspended == identify(target)


def identify(target: TargetStatus) -> TargetStart:
    """Return the identity of a start of a target."""
    return target.target_id, target.started, target.address
