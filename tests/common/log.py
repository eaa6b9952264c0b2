"""Fake the platform's append-only log in memory, with fault injection."""

import threading

from result import Err, Ok, Result

from corianderhold.ids import FIRST_ERA, Offset, StoreEra
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    LogRecord,
    ReadFailure,
    StreamName,
)


class FakeLog:
    """Keep streams in memory; the public flags inject faults."""

    def __init__(self) -> None:
        self.down = False
        self.read_only: frozenset[StreamName] = frozenset()
        self.lose_append_answers = False
        self._lock = threading.Lock()
        self._records: dict[StreamName, list[LogRecord]] = {}
        self._next: dict[StreamName, int] = {}
        self.reads = 0
        self.era = FIRST_ERA

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Append one record unless the log is down."""
        with self._lock:
            if self.down:
                return Err(AppendFailure.NOT_APPENDED)
            offset = Offset(self._next.get(stream, 0))
            self._next[stream] = offset + 1
            self._records.setdefault(stream, []).append(LogRecord(offset, data))
            if self.lose_append_answers:
                return Err(AppendFailure.UNKNOWN)
            return Ok(offset)

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Return a page at once unless the log is down."""
        with self._lock:
            self.reads += 1
            if self.down:
                return Err(ReadFailure.UNAVAILABLE)
            records = self._records.get(stream, [])
            next_offset = Offset(self._next.get(stream, 0))
            first = records[0].offset if records else next_offset
            page = [record for record in records if record.offset >= from_offset]
            return Ok(LogPage(first, next_offset, tuple(page[:limit]), self.era))

    def find_end(self, stream: StreamName) -> Offset:
        """Return the offset of the next record, even while the log is down."""
        with self._lock:
            return Offset(self._next.get(stream, 0))

    def restore(self, ends: dict[StreamName, int]) -> None:
        """Cut streams off at earlier ends, as a copy has them, and begin an era."""
        with self._lock:
            for stream, end in ends.items():
                kept = [r for r in self._records.get(stream, []) if r.offset < end]
                self._records[stream] = kept
                self._next[stream] = end
            self.era = StoreEra(self.era + 1)

    def restart_offsets(self, stream: StreamName, data: str) -> None:
        """Replace a stream by one record at offset 0."""
        with self._lock:
            self._records[stream] = [LogRecord(Offset(0), data)]
            self._next[stream] = 1

    def truncate(self, stream: StreamName, before: int) -> None:
        """Drop records with an offset below `before`, as retention does."""
        with self._lock:
            kept = [r for r in self._records.get(stream, []) if r.offset >= before]
            self._records[stream] = kept
