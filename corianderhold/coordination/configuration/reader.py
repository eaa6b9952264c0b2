"""Read the configuration stream from the log into the replica."""

from enum import Enum

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    LOG_PAGE_RECORDS,
    LOG_PAGES_MAX,
    LOG_READ_TIMEOUT_S,
)
from corianderhold.coordination.configuration.replica import Replica, decode_snapshot
from corianderhold.coordination.configuration.snapshots import SnapshotKeeper
from corianderhold.ids import Offset
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.store.model import Log, LogPage, StreamName
from corianderhold.state.configuration.holder import ConfigurationHolder


class ReadOutcome(Enum):
    """How far a read of the log got."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    UNAVAILABLE = "unavailable"
    UNRECOVERABLE = "unrecoverable"  # retention passed, and no snapshot covers it


class LogReader:
    """Follow the stream in the log; used by one thread at a time."""

    def __init__(
        self,
        replica: Replica,
        keeper: SnapshotKeeper,
        log: Log,
        holder: ConfigurationHolder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self._keeper = keeper
        self._log = log
        self._holder = holder
        self._clock = clock
        self._metrics = metrics

    def catch_up(self) -> ReadOutcome:
        """Fold what the log has and note when the view was complete."""
        searched = False
        for _ in range(LOG_PAGES_MAX):
            asked_at = self._clock.read_monotonic()
            next_offset = self._replica.head.next_offset
            page = self._read_page(next_offset)
            if page is None:
                return ReadOutcome.UNAVAILABLE
            self._keeper.note_first_offset(page.first_offset)
            if next_offset > page.next_offset:
                log_warning("log_shorter_than_state", next_offset=page.next_offset)
                return ReadOutcome.UNRECOVERABLE
            if not searched and self._needs_snapshot(page, next_offset):
                searched = True
                if self._adopt_newest(page):
                    continue
            if page.first_offset > next_offset:
                log_warning("configuration_gap", first_offset=page.first_offset)
                return ReadOutcome.UNRECOVERABLE
            self._replica.take_records(page.records)
            if self._replica.head.next_offset >= page.next_offset:
                self._holder.mark_verified(asked_at)
                return ReadOutcome.COMPLETE
        return ReadOutcome.PARTIAL

    def _needs_snapshot(self, page: LogPage, next_offset: Offset) -> bool:
        lag = page.next_offset - next_offset
        return page.first_offset > next_offset or lag > LOG_PAGE_RECORDS

    def _adopt_newest(self, head: LogPage) -> bool:
        """
        Adopt the newest snapshot that the kept records continue.

        Reads backwards from the end; return whether the state advanced.
        """
        end = head.next_offset
        while end > head.first_offset:
            start = Offset(max(head.first_offset, end - LOG_PAGE_RECORDS))
            page = self._read_page(start)
            if page is None:
                return False
            if self._adopt_from(page, head.first_offset):
                return True
            end = start
        return False

    def _adopt_from(self, page: LogPage, first_offset: Offset) -> bool:
        before = self._replica.head.next_offset
        for record in reversed(page.records):
            snapshot = decode_snapshot(record.data)
            if snapshot is None or snapshot.folded_to + 1 < first_offset:
                continue
            if self._replica.take_snapshot(snapshot):
                self._keeper.note_snapshot(snapshot)
                log_event("snapshot_adopted", offset=record.offset, behind_from=before)
                return True
        return False

    def _read_page(self, from_offset: Offset) -> LogPage | None:
        self._metrics.increment("configuration_log_reads")
        page = self._log.read(
            StreamName.CONFIGURATION, from_offset, LOG_PAGE_RECORDS, LOG_READ_TIMEOUT_S
        )
        if isinstance(page, Err):
            self._metrics.increment("configuration_log_read_failures")
            return None
        return page.ok_value
