"""Model what the platform's append-only log answers."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from corianderhold.ids import Offset


class StreamName(Enum):
    """The streams that the fleet keeps in the platform's log."""

    CONFIGURATION = "configuration"
    MEMBERS = "members"
    LEASES = "leases"


class AppendFailure(Enum):
    """Why an append gave no offset."""

    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"  # the record may be in the log, or may still get there


class ReadFailure(Enum):
    """Why a read gave no page."""

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
    Records of a stream in order.

    `first_offset` is the oldest offset that the log still keeps and `next_offset`
    the one that the next appended record gets.
    """

    first_offset: Offset
    next_offset: Offset
    records: tuple[LogRecord, ...]


class Log(Protocol):
    """Append to and read from the platform's log."""

    @property
    def read_only(self) -> frozenset[StreamName]:
        """
        Return the streams that others write.

        No daemon appends to them, and the log keeps their newest record for good.
        """

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """
        Append one record and return its offset.

        A log may forget a record once a later one has the same `key`.
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
        Return up to `limit` records, starting at `from_offset` or the oldest.

        A log may hold its answer up to `wait_s` until there is a record; `timeout_s`
        is the time for the answer beyond that.
        """
