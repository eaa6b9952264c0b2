"""Read the configuration stream from the log and apply it to the replica."""

from dataclasses import dataclass
from enum import Enum

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    HELD_READ_MIN_S,
    LOG_ANSWER_DELAY_S,
    LOG_PAGE_RECORDS,
    LOG_PAGES_MAX,
    LOG_READ_TIMEOUT_S,
)
from corianderhold.coordination.configuration.replica import Replica, decode_snapshot
from corianderhold.coordination.configuration.restored import (
    RestoredFold,
    RestoredStream,
)
from corianderhold.coordination.configuration.snapshots import SnapshotWriter
from corianderhold.ids import Offset, StoreEra
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.store.model import AppendOnlyLog, LogPage, StreamName
from corianderhold.state.configuration.holder import ConfigurationHolder


class ReadOutcome(Enum):
    """How far a read of the log has come."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    UNAVAILABLE = "unavailable"
    UNRECOVERABLE = "unrecoverable"  # records expired and no snapshot covers them


@dataclass(frozen=True)
class FetchedPage:
    """
    Page of the log, with the time and offset of the request.

    `empty_until` is the monotonic time in seconds up to which the log had no further
    records. It is known only if the log held the read, else None.
    """

    requested_at: float
    next_offset: Offset
    page: LogPage
    empty_until: float | None = None


class LogReader:
    """
    Follow the stream in the log.

    `catch_up` must not run in two threads at once; `poll_page` is thread-safe.
    """

    def __init__(
        self,
        replica: Replica,
        snapshot_writer: SnapshotWriter,
        log: AppendOnlyLog,
        holder: ConfigurationHolder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self._snapshot_writer = snapshot_writer
        self._log = log
        self._holder = holder
        self._clock = clock
        self._metrics = metrics

    def poll_page(self, wait_s: float) -> FetchedPage | None:
        """Return the next page as soon as it has records, or after `wait_s` seconds."""
        requested_at = self._clock.read_monotonic()
        next_offset = self._replica.head.next_offset
        page = self._read_page(next_offset, wait_s)
        if page is None:
            return None
        answered_at = self._clock.read_monotonic()
        held_s = min(answered_at - requested_at, wait_s)
        empty_until = None
        if held_s >= HELD_READ_MIN_S:
            empty_until = requested_at + held_s - LOG_ANSWER_DELAY_S
        return FetchedPage(requested_at, next_offset, page, empty_until)

    def catch_up(self, fetched: FetchedPage | None = None) -> ReadOutcome:
        """Apply the log, starting with `fetched`; record when the view was complete."""
        has_searched = False
        for _ in range(LOG_PAGES_MAX):
            fetched = fetched or self.poll_page(0.0)
            if fetched is None:
                return ReadOutcome.UNAVAILABLE
            requested_at, next_offset, page = (
                fetched.requested_at,
                fetched.next_offset,
                fetched.page,
            )
            empty_until, fetched = fetched.empty_until, None
            if page.era < self._replica.state.era:
                return ReadOutcome.UNAVAILABLE  # answered before the restore
            if self._is_restored(page, next_offset):
                return self._follow_restored(page.era)
            self._snapshot_writer.record_first_offset(page.first_offset)
            if not has_searched and self._needs_snapshot(page, next_offset):
                has_searched = True
                if self._install_newest(page):
                    continue
            if page.first_offset > next_offset:
                log_warning("configuration_gap", first_offset=page.first_offset)
                return ReadOutcome.UNRECOVERABLE
            if empty_until is not None:
                self._holder.mark_verified(empty_until)
            self._replica.apply_records(page.records, page.era)
            if self._replica.head.next_offset >= page.next_offset:
                self._holder.mark_verified(requested_at)
                return ReadOutcome.COMPLETE
        return ReadOutcome.PARTIAL

    def _needs_snapshot(self, page: LogPage, next_offset: Offset) -> bool:
        lag = page.next_offset - next_offset
        return page.first_offset > next_offset or lag > LOG_PAGE_RECORDS

    def _is_restored(self, page: LogPage, next_offset: Offset) -> bool:
        """Return whether the state's position belongs to an earlier history."""
        state = self._replica.state
        if page.era == state.era:
            return next_offset > page.next_offset
        return not self._replica.begin_era(page.era)

    def _follow_restored(self, era: StoreEra) -> ReadOutcome:
        """Read the whole stream again and continue at its end."""
        requested_at = self._clock.read_monotonic()
        restored = self._read_restored(era)
        if restored is None:
            return ReadOutcome.UNAVAILABLE
        self._snapshot_writer.begin_era()
        self._replica.follow_restored(restored)
        self._holder.mark_verified(requested_at)
        return ReadOutcome.COMPLETE

    def _read_restored(self, era: StoreEra) -> RestoredStream | None:
        """Fold all retained records; return None if they could not all be read."""
        replica = self._replica
        restored = RestoredFold(replica.state, replica.find_record, era)
        position = Offset(0)
        for _ in range(LOG_PAGES_MAX):
            page = self._read_page(position)
            if page is None or page.era != era:
                return None
            restored.fold_page(page)
            if page.records:
                position = Offset(page.records[-1].offset + 1)
            if not page.records or position >= page.next_offset:
                return restored.build()
        return None

    def _install_newest(self, head: LogPage) -> bool:
        """
        Install the newest snapshot that the retained records continue.

        Reads backwards from the end; returns whether one was installed.
        """
        end = head.next_offset
        while end > head.first_offset:
            start = Offset(max(head.first_offset, end - LOG_PAGE_RECORDS))
            page = self._read_page(start)
            if page is None:
                return False
            if self._install_from(page, head.first_offset):
                return True
            end = start
        return False

    def _install_from(self, page: LogPage, first_offset: Offset) -> bool:
        before = self._replica.head.next_offset
        for record in reversed(page.records):
            snapshot = decode_snapshot(record.data)
            if snapshot is None or snapshot.folded_to + 1 < first_offset:
                continue
            if snapshot.keeps_evacuations:
                continue  # the evacuated domains are only in the records before it
            if self._replica.install_snapshot(snapshot, page.era):
                self._snapshot_writer.record_snapshot(snapshot.folded_to)
                log_event("snapshot_adopted", offset=record.offset, behind_from=before)
                return True
        return False

    def _read_page(self, from_offset: Offset, wait_s: float = 0.0) -> LogPage | None:
        self._metrics.increment("configuration_log_reads")
        page = self._log.read(
            StreamName.CONFIGURATION,
            from_offset,
            LOG_PAGE_RECORDS,
            LOG_READ_TIMEOUT_S,
            wait_s,
        )
        if isinstance(page, Err):
            self._metrics.increment("configuration_log_read_failures")
            return None
        return page.ok_value
