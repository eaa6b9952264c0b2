"""Model the messages with which daemons synchronise the configuration."""

from dataclasses import dataclass

from corianderhold.ids import FIRST_ERA, Offset, StoreEra, Version
from corianderhold.protocol.store.model import LogRecord


@dataclass(frozen=True)
class Head:
    """
    Position of a daemon in the stream, with the first bytes of its digest.

    `era` is the era of the store that `next_offset` refers to.
    """

    next_offset: Offset
    version: Version
    digest: bytes
    era: StoreEra = FIRST_ERA

    def is_ahead_of(self, other: "Head") -> bool:
        """Return whether this head is ahead of `other`."""
        own = (self.version, self.era, self.next_offset)
        return own > (other.version, other.era, other.next_offset)


@dataclass(frozen=True)
class SnapshotQuery:
    """Request a part of the snapshot folded to an offset, or of the newest one."""

    folded_to: Offset
    from_byte: int


@dataclass(frozen=True)
class SnapshotPart:
    """A part of a compressed snapshot, whose offset belongs to `era`."""

    folded_to: Offset
    from_byte: int
    total_bytes: int
    data: bytes
    era: StoreEra = FIRST_ERA


@dataclass(frozen=True)
class SnapshotMark:
    """The best snapshot known to be in the log, and its age in the log in seconds."""

    folded_to: Offset
    age_s: int


@dataclass(frozen=True)
class Exchange:
    """
    Send a peer the own head, with records for it or a query for a snapshot.

    `records` are contiguous; one with empty data stands for a snapshot that changes
    nothing.
    """

    head: Head
    records: tuple[LogRecord, ...] = ()
    snapshot: SnapshotQuery | None = None


@dataclass(frozen=True)
class ExchangeReply:
    """
    Reply to an exchange with the own head and what the requester is missing.

    `verified_age_ms` is the time since the view was last verified to be complete, or
    None if it never was. `snapshot_needed` means that the records of a newer version
    are no longer retained.
    """

    head: Head
    verified_age_ms: int | None = None
    records: tuple[LogRecord, ...] = ()
    part: SnapshotPart | None = None
    mark: SnapshotMark | None = None
    snapshot_needed: bool = False
