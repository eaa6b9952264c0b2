"""Define the messages between the threads of the membership service."""

from dataclasses import dataclass

from corianderhold.coordination.membership.contacts import Contact
from corianderhold.ids import Incarnation, StoreEra
from corianderhold.protocol.membership.model import SyncRecord
from corianderhold.state.membership.model import Member
from corianderhold.state.membership.target import Departure


@dataclass(frozen=True)
class RecordsReceived:
    """Records of a synchronisation, for the thread that owns the table."""

    records: tuple[SyncRecord, ...]


@dataclass(frozen=True)
class ContactsFound:
    """
    Contacts read from the log, for the thread that owns the table.

    `outranking` is the highest incarnation of an earlier start of this instance in the
    log, or None. `names_others` is whether the log names members besides this one,
    `is_first_start` whether its whole history has no earlier start of this instance.
    """

    contacts: tuple[Contact, ...]
    outranking: Incarnation | None = None
    names_others: bool = False
    is_first_start: bool = False


@dataclass(frozen=True)
class DepartureFound:
    """Departure of the previous local target, as read from the log."""

    departure: Departure


@dataclass(frozen=True)
class TargetDeparted:
    """Append to the log that a start of the local target drains or has left."""

    departure: Departure


@dataclass(frozen=True)
class StoreRestored:
    """Append to the log again what the store may have lost in a restore."""

    era: StoreEra


@dataclass(frozen=True)
class LeaveRequested:
    """Announce that the daemon leaves the fleet permanently."""


@dataclass(frozen=True)
class StopRequested:
    """End the thread that receives this."""


@dataclass(frozen=True)
class MemberFound:
    """Tell the synchroniser that a first other member was found."""


@dataclass(frozen=True)
class MembersRevived:
    """Tell the synchroniser that dead members have returned."""


@dataclass(frozen=True)
class MembersSynchronized:
    """The table has all that a peer knows; follows the records of that peer."""


@dataclass(frozen=True)
class AnnouncementChanged:
    """Append this announcement to the log."""

    member: Member


TableMessage = (
    RecordsReceived
    | MembersSynchronized
    | ContactsFound
    | DepartureFound
    | LeaveRequested
    | StopRequested
)
WorkerMessage = (
    MemberFound
    | MembersRevived
    | AnnouncementChanged
    | TargetDeparted
    | StoreRestored
    | StopRequested
)
