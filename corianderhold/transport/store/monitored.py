"""Log when the connection to the platform's log is lost and regained."""

import threading
from collections.abc import Callable

from result import Ok, Result

from corianderhold.clock import Clock
from corianderhold.ids import FIRST_ERA, Offset, StoreEra
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.store.model import (
    AppendFailure,
    AppendOnlyLog,
    LogPage,
    ReadFailure,
    StreamName,
)

FAILURES_UNTIL_LOST = 2  # consecutive; a single failure may be a refusal
DEPENDENCY = "store"


class MonitoredLog:
    """
    Forward calls to a log; log when it is lost, regained, or restored from a copy.

    `read_age_s` returns the age of the current configuration view in seconds.
    """

    def __init__(
        self, log: AppendOnlyLog, clock: Clock, read_age_s: Callable[[], float]
    ) -> None:
        self._log = log
        self._clock = clock
        self._read_age_s = read_age_s
        self._lock = threading.Lock()
        self._failures = 0
        self._failing_since = 0.0
        self._era = FIRST_ERA

    @property
    def read_only(self) -> frozenset[StreamName]:
        """Return the streams that only others write."""
        return self._log.read_only

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Append one record and return its offset."""
        outcome = self._log.append(stream, data, timeout_s, key)
        self._record_outcome(succeeded=outcome.is_ok())
        return outcome

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Return up to `limit` records, starting at `from_offset` or the oldest."""
        outcome = self._log.read(stream, from_offset, limit, timeout_s, wait_s)
        self._record_outcome(succeeded=outcome.is_ok())
        if isinstance(outcome, Ok):
            self._record_era(stream, from_offset, outcome.ok_value)
        return outcome

    def read_era(self) -> StoreEra:
        """Return the newest era that the store has stated."""
        return self._era

    def _record_era(
        self, stream: StreamName, from_offset: Offset, page: LogPage
    ) -> None:
        with self._lock:
            before = self._era
            self._era = max(before, page.era)
        if page.era != before:
            log_event(
                "store_era_changed",
                era=page.era,
                before=before,
                stream=stream,
                from_offset=from_offset,
                next_offset=page.next_offset,
            )

    def _record_outcome(self, succeeded: bool) -> None:
        now = self._clock.read_monotonic()
        with self._lock:
            failures_before = self._failures
            self._failures = 0 if succeeded else failures_before + 1
            if not succeeded and not failures_before:
                self._failing_since = now
            lost_s = now - self._failing_since
        age_s = self._read_age_s()
        if not succeeded and failures_before + 1 == FAILURES_UNTIL_LOST:
            log_warning("dependency_lost", dependency=DEPENDENCY, view_age_s=age_s)
        if succeeded and failures_before >= FAILURES_UNTIL_LOST:
            log_event(
                "dependency_regained",
                dependency=DEPENDENCY,
                view_age_s=age_s,
                lost_s=lost_s,
            )
