"""Model the lease records of the log."""

import re
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from corianderhold.ids import FIRST_ERA, Incarnation, InstanceId, StoreEra

ShardId = NewType("ShardId", str)
LeaseRecordId = NewType("LeaseRecordId", str)

NO_RECORD = LeaseRecordId("")
ERA_SUFFIX = re.compile(r"@([1-9][0-9]{0,14})$")


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


def build_record_id(
    writer: LeaseHolder, count: int, era: StoreEra = FIRST_ERA
) -> LeaseRecordId:
    """
    Return a unique record id that states the era of the store its writer has read.

    Older builds read records with other fields as malformed, but any id is valid to
    them.
    """
    suffix = "" if era == FIRST_ERA else f"@{era}"
    return LeaseRecordId(f"{writer.instance}/{writer.incarnation}/{count}{suffix}")


def extract_era(record_id: LeaseRecordId) -> StoreEra:
    """Return the era in a record id; the first one is not stated."""
    matched = ERA_SUFFIX.search(record_id.rpartition("/")[2])
    return FIRST_ERA if matched is None else StoreEra(int(matched[1]))


class WaitClass(Enum):
    """Which wait applies before the holder of a new record may act on the lease."""

    NONE = "none"
    TAKEOVER = "takeover"
    NEWCOMER = "newcomer"


@dataclass(frozen=True)
class LeaseTerm:
    """
    The lease that is in force according to the fold, from its newest record.

    It is `settled` if its record was written in the era of the store in which it was
    read. Records that followed another one may have been lost in a restore.
    """

    number: int
    record_id: LeaseRecordId
    holder: LeaseHolder
    successors: frozenset[InstanceId]
    wait: WaitClass
    settled: bool = True

    @property
    def members(self) -> frozenset[InstanceId]:
        """Return the holder and the closed set of its successors."""
        return self.successors | {self.holder.instance}
