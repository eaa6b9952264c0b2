"""Model the lease records of the log."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from corianderhold.ids import Incarnation, InstanceId

ShardId = NewType("ShardId", str)
LeaseRecordId = NewType("LeaseRecordId", str)

NO_RECORD = LeaseRecordId("")


class RecordKind(Enum):
    """How a record changes the lease of the record that it builds on."""

    TAKEOVER = "takeover"
    RENEWAL = "renewal"
    HANDOVER = "handover"


@dataclass(frozen=True)
class LeaseHolder:
    """A daemon, identified with one of its starts, that holds or may hold a lease."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class LeaseRecord:
    """
    One record of the stream of leases, as appended by its writer.

    `number` is the number of the term that it starts, one higher than that of the
    record that it builds on. `builds_on` is the id of the record that it replaces.
    `successors` is the closed set of successors as stated by a newcomer or by a holder
    that renews; a takeover keeps the previous set.
    """

    shard: ShardId
    record_id: LeaseRecordId
    number: int
    builds_on: LeaseRecordId
    kind: RecordKind
    writer: LeaseHolder
    holder: LeaseHolder
    successors: frozenset[InstanceId]


class WaitClass(Enum):
    """Which wait applies before the holder of a new record may act on the lease."""

    NONE = "none"
    TAKEOVER = "takeover"
    NEWCOMER = "newcomer"


@dataclass(frozen=True)
class LeaseTerm:
    """The lease that is in force according to the fold, from its newest record."""

    number: int
    record_id: LeaseRecordId
    holder: LeaseHolder
    successors: frozenset[InstanceId]
    wait: WaitClass

    @property
    def members(self) -> frozenset[InstanceId]:
        """Return the holder and the closed set of its successors."""
        return self.successors | {self.holder.instance}
