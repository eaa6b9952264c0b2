"""Model the lease records of the log."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from corianderhold.ids import Incarnation, InstanceId

ShardId = NewType("ShardId", str)
LeaseRecordId = NewType("LeaseRecordId", str)

NO_RECORD = LeaseRecordId("")


class RecordKind(Enum):
    """How a record changes the lease that it builds on."""

    TAKEOVER = "takeover"
    RENEWAL = "renewal"
    HANDOVER = "handover"


@dataclass(frozen=True)
class Holder:
    """One run of one daemon."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class LeaseRecord:
    """
    One record of the leases stream, as its writer appended it.

    `number` is the term that it begins, one above that of the record that it builds on.
    `builds_on` names the record that it replaces. `successors` is the closed set
    that a newcomer or a renewing holder names; a takeover keeps the set before it.
    """

    shard: ShardId
    record_id: LeaseRecordId
    number: int
    builds_on: LeaseRecordId
    kind: RecordKind
    writer: Holder
    holder: Holder
    successors: frozenset[InstanceId]


class WaitClass(Enum):
    """How long a record has to be old before its holder may act."""

    NONE = "none"
    TAKEOVER = "takeover"
    NEWCOMER = "newcomer"


@dataclass(frozen=True)
class LeaseTerm:
    """A lease in force in the fold: the newest record that replaced another."""

    number: int
    record_id: LeaseRecordId
    holder: Holder
    successors: frozenset[InstanceId]
    wait: WaitClass

    @property
    def members(self) -> frozenset[InstanceId]:
        """Return the holder and its closed set of successors."""
        return self.successors | {self.holder.instance}
