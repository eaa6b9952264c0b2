"""Model what daemons exchange to spread the configuration."""

from dataclasses import dataclass

from corianderhold.ids import Offset, Version
from corianderhold.protocol.store.model import LogRecord


@dataclass(frozen=True)
class Head:
    """How far a daemon has folded the stream, with the first bytes of its digest."""

    next_offset: Offset
    version: Version
    digest: bytes

    def is_ahead_of(self, other: "Head") -> bool:
        """Return whether a daemon at `other` has something to learn from this one."""
        mine = (self.version, self.next_offset)
        return mine > (other.version, other.next_offset)


@dataclass(frozen=True)
class SnapshotQuery:
    """Ask for a part of the snapshot folded to an offset, or of the newest."""

    folded_to: Offset
    from_byte: int


@dataclass(frozen=True)
class SnapshotPart:
    """A part of the compressed text of a snapshot."""

    folded_to: Offset
    from_byte: int
    total_bytes: int
    data: bytes


@dataclass(frozen=True)
class SnapshotMark:
    """The best snapshot known to be in the log, and its age there in seconds."""

    folded_to: Offset
    age_s: int


@dataclass(frozen=True)
class Exchange:
    """
    Tell a peer the own head, with records for it or a query for a snapshot.

    `records` have no gap; one without text is a snapshot that changes nothing.
    """

    head: Head
    records: tuple[LogRecord, ...] = ()
    snapshot: SnapshotQuery | None = None


@dataclass(frozen=True)
class ExchangeReply:
    """
    Answer an exchange with the own head and what the asker lacks.

    `verified_age_ms` is the age of the last proof that the view was complete, None
    without one. `snapshot_needed` says that the records of a newer version are no
    longer kept.
    """

    head: Head
    verified_age_ms: int | None = None
    records: tuple[LogRecord, ...] = ()
    part: SnapshotPart | None = None
    mark: SnapshotMark | None = None
    snapshot_needed: bool = False
