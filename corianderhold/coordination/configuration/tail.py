"""Keep the last records of the stream for lagging peers."""

from collections import deque

from corianderhold.coordination.configuration.const import SENT_RECORD_BYTES_MAX
from corianderhold.ids import Offset
from corianderhold.protocol.store.model import LogRecord


class Tail:
    """Keep the newest records without gaps, bounded by number and bytes."""

    def __init__(self, records_max: int, bytes_max: int) -> None:
        self._records_max = records_max
        self._bytes_max = bytes_max
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def append(self, record: LogRecord) -> None:
        """
        Add the next record; evict the oldest ones beyond the limits.

        A record too long for a frame is not kept: peers fetch a snapshot instead.
        """
        if len(record.data) > SENT_RECORD_BYTES_MAX:
            self.clear()
            return
        if self._records and record.offset != self._records[-1].offset + 1:
            self.clear()
        self._records.append(record)
        self._bytes += len(record.data)
        while self._records and self._is_full():
            self._bytes -= len(self._records.popleft().data)

    def clear(self) -> None:
        """Remove all records."""
        self._records.clear()
        self._bytes = 0

    def slice_from(self, from_offset: Offset, bytes_max: int) -> tuple[LogRecord, ...]:
        """Return records from an offset on, none if that record is not kept."""
        if not self._records or from_offset < self._records[0].offset:
            return ()
        chosen: list[LogRecord] = []
        size = 0
        for record in self._records:
            if record.offset < from_offset:
                continue
            size += len(record.data)
            if chosen and size > bytes_max:
                break
            chosen.append(record)
        return tuple(chosen)

    def _is_full(self) -> bool:
        return len(self._records) > self._records_max or self._bytes > self._bytes_max
