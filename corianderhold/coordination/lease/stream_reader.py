"""Read the leases stream up to its head."""

from dataclasses import dataclass

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.lease.const import LOG_TIMEOUT_S, PAGE_LIMIT
from corianderhold.ids import FIRST_ERA, Offset, StoreEra
from corianderhold.log import log_warning
from corianderhold.protocol.store.model import AppendOnlyLog, StreamName
from corianderhold.state.lease.codec import decode_record
from corianderhold.state.lease.model import LeaseRecord


@dataclass(frozen=True)
class HeadReading:
    """
    All records since the last reading, up to the head.

    `sent_at` is taken before sending the request that reached the head. `gap` is set
    if records that were not read are no longer in the log. In a later `era` of the
    store, they are all records of the log.
    """

    sent_at: float
    records: tuple[LeaseRecord, ...]
    gap: bool
    era: StoreEra = FIRST_ERA


class LeaseStreamReader:
    """Read the leases stream from the last position; used by one thread."""

    def __init__(self, log: AppendOnlyLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._position = Offset(0)
        self._pending: list[LeaseRecord] = []
        self._gap = False
        self._era = FIRST_ERA

    def read_head(self) -> HeadReading | None:
        """Read page by page up to the head; return None if the log does not respond."""
        while True:
            sent_at = self._clock.read_monotonic()
            answer = self._log.read(
                StreamName.LEASES, self._position, PAGE_LIMIT, LOG_TIMEOUT_S
            )
            if isinstance(answer, Err):
                return None
            page = answer.ok_value
            if page.era < self._era:
                return None
            if page.era > self._era:
                self._begin_era(page.era)
                continue
            if page.next_offset < self._position:
                self._position = Offset(0)
                self._gap = True
                continue
            self._gap = self._gap or page.first_offset > self._position
            for entry in page.records:
                self._take(entry.offset, entry.data)
            if not page.records or self._position >= page.next_offset:
                records = tuple(self._pending)
                reading = HeadReading(sent_at, records, self._gap, self._era)
                self._position = page.next_offset
                self._pending.clear()
                self._gap = False
                return reading

    def _begin_era(self, era: StoreEra) -> None:
        """Read the whole stream again, which was restored from an older copy."""
        self._era = era
        self._position = Offset(0)
        self._pending.clear()
        self._gap = False

    def _take(self, offset: Offset, data: str) -> None:
        """Add one record; a malformed one is skipped, by every reader alike."""
        self._position = Offset(offset + 1)
        match decode_record(data):
            case Err(problem):
                log_warning("lease_record_skipped", offset=offset, problem=problem)
            case answer:
                self._pending.append(answer.ok_value)
