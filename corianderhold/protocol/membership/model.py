"""Model gossip datagrams and the messages of a full synchronisation."""

from dataclasses import dataclass
from enum import Enum

from corianderhold.errors import CorianderholdError
from corianderhold.ids import Incarnation, InstanceId
from corianderhold.state.membership.model import Address, Member, MemberState


class MalformedMessageError(CorianderholdError):
    """Bytes that are not a message of this protocol."""


class DatagramKind(Enum):
    """What a datagram asks for or answers."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    GOSSIP = 4


@dataclass(frozen=True)
class MemberClaim:
    """A state claimed of one announcement, for those who have the announcement."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: MemberState


@dataclass(frozen=True)
class Datagram:
    """
    One gossip datagram.

    `number` relates an ACK to its PING or PING_REQUEST. `subject` is the member that
    a PING is meant for, None for whoever listens there, or that a PING_REQUEST asks
    about, together with `subject_address`. `updates` are encoded members, `claims`
    encoded claims.
    """

    kind: DatagramKind
    number: int
    sender: InstanceId
    subject: InstanceId | None = None
    subject_address: Address | None = None
    updates: tuple[bytes, ...] = ()
    claims: tuple[bytes, ...] = ()


@dataclass(frozen=True)
class SyncRecord:
    """One member in a full synchronisation; `dead_for_s` is 0 for a live one."""

    member: Member
    dead_for_s: int = 0


@dataclass(frozen=True)
class SyncRequest:
    """
    Ask a peer for the records in all buckets whose digests differ.

    Records up to the instance `after` were received before. `pushed` holds records
    that the sender has newer than the peer.
    """

    digests: tuple[int, ...]
    after: str = ""
    pushed: tuple[SyncRecord, ...] = ()


@dataclass(frozen=True)
class SyncReply:
    """Return a page of records from the buckets whose digests differ."""

    buckets: tuple[int, ...]
    records: tuple[SyncRecord, ...]
    last: bool
