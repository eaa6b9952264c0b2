"""Read the configuration stream from the log into the replica."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    HELD_READ_S,
    LOG_ANSWER_DELAY_S,
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
from corianderhold.state.configuration.records import SnapshotRecord

Adopt = Callable[[SnapshotRecord], bool]


class ReadOutcome(Enum):
    """How far a read of the log got."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    UNAVAILABLE = "unavailable"
    UNRECOVERABLE = "unrecoverable"  # retention passed, and no snapshot covers it


@dataclass(frozen=True)
class AskedPage:
    """
    A page, with the time and the offset that it was asked for at and from.

    `nothing_until` is the monotonic time in seconds up to which the log is known to
    have had nothing more for the asker, or None: only a read that was held shows it.
    """

    asked_at: float
    next_offset: Offset
    page: LogPage
    nothing_until: float | None = None


class LogReader:
    """
    Follow the stream in the log.

    `catch_up` is used by one thread at a time; `await_page` also beside it.
    """

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

    def await_page(self, wait_s: float) -> AskedPage | None:
        """Return what follows the state, once there is something or the time is up."""
        asked_at = self._clock.read_monotonic()
        next_offset = self._replica.head.next_offset
        page = self._read_page(next_offset, wait_s)
        if page is None:
            return None
        answered_at = self._clock.read_monotonic()
        held_s = min(answered_at - asked_at, wait_s)
        nothing_until = None
        if held_s >= HELD_READ_S:
            nothing_until = asked_at + held_s - LOG_ANSWER_DELAY_S
        return AskedPage(asked_at, next_offset, page, nothing_until)

    def catch_up(self, asked: AskedPage | None = None) -> ReadOutcome:
        """Fold what the log has, `asked` first, and note when the view was complete."""
        searched = False
        for _ in range(LOG_PAGES_MAX):
            asked = asked or self.await_page(0.0)
            if asked is None:
                return ReadOutcome.UNAVAILABLE
            asked_at, next_offset, page = asked.asked_at, asked.next_offset, asked.page
            nothing_until, asked = asked.nothing_until, None
            self._keeper.note_first_offset(page.first_offset)
            if next_offset > page.next_offset:
                log_warning("log_shorter_than_state", next_offset=page.next_offset)
                if not searched and self._adopt_newest(page, self._take_or_renumber):
                    searched = True
                    continue
                return ReadOutcome.UNRECOVERABLE
            if not searched and self._needs_snapshot(page, next_offset):
                searched = True
                if self._adopt_newest(page, self._replica.take_snapshot):
                    continue
            if page.first_offset > next_offset:
                log_warning("configuration_gap", first_offset=page.first_offset)
                return ReadOutcome.UNRECOVERABLE
            if nothing_until is not None:
                self._holder.mark_verified(nothing_until)
            self._replica.take_records(page.records)
            if self._replica.head.next_offset >= page.next_offset:
                self._holder.mark_verified(asked_at)
                return ReadOutcome.COMPLETE
        return ReadOutcome.PARTIAL

    def _needs_snapshot(self, page: LogPage, next_offset: Offset) -> bool:
        lag = page.next_offset - next_offset
        return page.first_offset > next_offset or lag > LOG_PAGE_RECORDS

    def _take_or_renumber(self, snapshot: SnapshotRecord) -> bool:
        """Adopt a newer snapshot, or go on from one of the state in force."""
        return self._replica.take_snapshot(snapshot) or self._replica.renumber(snapshot)

    def _adopt_newest(self, head: LogPage, adopt: Adopt) -> bool:
        """
        Adopt the newest snapshot that the kept records continue.

        Reads backwards from the end; return whether one was adopted.
        """
        end = head.next_offset
        while end > head.first_offset:
            start = Offset(max(head.first_offset, end - LOG_PAGE_RECORDS))
            page = self._read_page(start)
            if page is None:
                return False
            if self._adopt_from(page, head.first_offset, adopt):
                return True
            end = start
        return False

    def _adopt_from(self, page: LogPage, first_offset: Offset, adopt: Adopt) -> bool:
        before = self._replica.head.next_offset
        for record in reversed(page.records):
            snapshot = decode_snapshot(record.data)
            if snapshot is None or snapshot.folded_to + 1 < first_offset:
                continue
            if snapshot.keeps_evacuations:
                continue  # only the records before it tell which domains these are
            if adopt(snapshot):
                self._keeper.note_snapshot(snapshot.folded_to)
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
