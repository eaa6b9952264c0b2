"""Model the platform's append-only log and its responses."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from corianderhold.ids import FIRST_ERA, Offset, StoreEra


class StreamName(Enum):
    """The streams of the fleet in the platform's log."""

    CONFIGURATION = "configuration"
    MEMBERS = "members"
    LEASES = "leases"
    QUARANTINES = "quarantines"


class AppendFailure(Enum):
    """Why an append returned no offset."""

    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"  # the record may be in the log or may still be appended


class ReadFailure(Enum):
    """Why a read returned no page."""

    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    offset: Offset
    data: str


@dataclass(frozen=True)
class LogPage:
    """
    Records of a stream in ascending order.

    `first_offset` is the oldest offset that the log retains, and `next_offset` the
    offset of the next record to be appended. `era` counts how often the store has been
    restored from an older copy, from FIRST_ERA on; offsets of different eras are not
    comparable. A store that does not state its era is taken to be in the first one.
    """

    first_offset: Offset
    next_offset: Offset
    records: tuple[LogRecord, ...]
    era: StoreEra = FIRST_ERA


class AppendOnlyLog(Protocol):
    """Append to and read from the platform's log."""

    @property
    def read_only(self) -> frozenset[StreamName]:
        """
        Return the streams that only other systems write to.

        Daemons do not append to them, and the log retains their newest record forever.
        """

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """
        Append a record and return its offset.

        A log may discard a record once a later one has the same `key`.
        """

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """
        Return up to `limit` records from `from_offset` or the oldest record on.

        The log may wait up to `wait_s` seconds for a record before it responds;
        `timeout_s` is the response timeout in addition to that.
        """
