"""Model gossip datagrams and the messages of a full synchronisation."""

from dataclasses import dataclass
from enum import Enum

from corianderhold.errors import CorianderholdError
from corianderhold.ids import Incarnation, InstanceId
from corianderhold.state.membership.model import Address, Member, MemberState
from corianderhold.state.membership.target import Departure


class MalformedMessageError(CorianderholdError):
    """The bytes are not a valid message of this protocol."""


class DatagramKind(Enum):
    """The type of a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    GOSSIP = 4


@dataclass(frozen=True)
class MemberClaim:
    """A state claimed of an announcement that the receiver already has."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: MemberState


@dataclass(frozen=True)
class Datagram:
    """
    A gossip datagram.

    `number` correlates an ACK with its PING or PING_REQUEST. In a PING, `subject` is
    the intended recipient, or None for any member at the address. In a PING_REQUEST,
    `subject` and `subject_address` identify the member to probe. `updates` are encoded
    members, `claims` encoded claims.
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
    """A member in a full synchronisation; `dead_for_s` is 0 if it is live."""

    member: Member
    dead_for_s: int = 0


@dataclass(frozen=True)
class SyncRequest:
    """
    Request the records in all buckets whose digests differ.

    Records up to and including the instance `after` were received before. `pushed`
    holds records that are newer at the sender than at the receiver.
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


@dataclass(frozen=True)
class DepartureRequest:
    """Ask a daemon to keep departures for the sender; empty to only ask for them."""

    departures: tuple[Departure, ...] = ()


@dataclass(frozen=True)
class DepartureReply:
    """
    Return the departures that a daemon keeps for the sender of the request.

    `uptime_s` is how long the replying daemon has been running, in seconds.
    """

    departures: tuple[Departure, ...]
    uptime_s: float
