"""
Decide whether this daemon holds a shard, as models/lease.pml specifies.

This module performs no I/O: the caller reads the log, appends the records returned
here, exchanges promises, and passes the results to the lease.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from corianderhold.clock import Clock
from corianderhold.coordination.lease.const import (
    NEWCOMER_WAIT_S,
    PROMISE_KEPT_S,
    PROMISE_S,
    READ_VALID_S,
    TAKEOVER_WAIT_S,
    TENURE_ERA_SHIFT,
    UNREAD_LIMIT_S,
)
from corianderhold.ids import FIRST_ERA, InstanceId, StoreEra
from corianderhold.state.lease.fold import LeaseFold
from corianderhold.state.lease.model import (
    NO_RECORD,
    LeaseHolder,
    LeaseRecord,
    LeaseRecordId,
    LeaseTerm,
    RecordKind,
    ShardId,
    WaitClass,
)

NEVER = float("-inf")


@dataclass(frozen=True)
class LeaseTimes:
    """Times of the lease in seconds; models/lease.pml specifies their relations."""

    read_valid_s: float = READ_VALID_S
    takeover_wait_s: float = TAKEOVER_WAIT_S
    promise_s: float = PROMISE_S
    promise_kept_s: float = PROMISE_KEPT_S
    unread_limit_s: float = UNREAD_LIMIT_S
    newcomer_wait_s: float = NEWCOMER_WAIT_S


class LeaseState(Enum):
    """The role of this daemon for a shard."""

    CANDIDATE = "candidate"
    CLAIMING = "claiming"
    WAITING = "waiting"
    ACTING = "acting"
    LAPSED = "lapsed"
    STOPPED = "stopped"


class Lease:
    """
    Track one daemon's state of the lease of one shard; not thread-safe.

    Times are monotonic seconds of the given clock. `tenure` identifies the term in
    which the current holder took the shard, also among the terms of all eras. A lease
    is only valid for one era of the store.
    """

    def __init__(
        self,
        shard: ShardId,
        node: LeaseHolder,
        clock: Clock,
        history_complete: bool,
        times: LeaseTimes | None = None,
        era: StoreEra = FIRST_ERA,
    ) -> None:
        self.shard = shard
        self.node = node
        self.times = times or LeaseTimes()
        self._clock = clock
        self.era = era
        self._fold = LeaseFold(history_complete, era)
        self.claimed_on: LeaseRecord | None = None
        self.stopped = False
        self.lapsed = True
        self.tenure = 0
        self._read_valid_until = NEVER
        self._unread_until = NEVER
        self._wait_until = NEVER
        if not history_complete:
            self._wait_until = clock.read_monotonic() + self.times.newcomer_wait_s
        self._promise_kept_until = clock.read_monotonic() + self.times.promise_kept_s
        self._promises: dict[InstanceId, float] = {}

    @property
    def seen(self) -> LeaseTerm | None:
        """Return the newest term read."""
        return self._fold.term

    @property
    def holds(self) -> bool:
        """Return whether this incarnation is the holder in the newest term read."""
        return self.seen is not None and self.seen.holder == self.node

    @property
    def state(self) -> LeaseState:
        """Return the current state; it depends on the time."""
        if self.stopped:
            return LeaseState.STOPPED
        if self.may_act():
            return LeaseState.ACTING
        if self.holds:
            waits = self._clock.read_monotonic() < self._find_wait_end()
            return LeaseState.WAITING if waits else LeaseState.LAPSED
        return LeaseState.CLAIMING if self.claimed_on else LeaseState.CANDIDATE

    def may_act(self) -> bool:
        """Return whether this daemon may act now; call this before each use."""
        if self.stopped or not self.holds:
            return False
        now = self._clock.read_monotonic()
        if now < self._find_wait_end():
            return False
        if now < self._read_valid_until:
            return True
        if self.lapsed or not self._is_carried_by_promises(now):
            self.lapsed = True
            return False
        return True

    def is_covered_by_promises(self, margin_s: float) -> bool:
        """Return whether promises alone allow this daemon to act for `margin_s`."""
        if self.claimed_on is not None or not self.may_act():
            return False
        until = self._clock.read_monotonic() + margin_s
        return self._is_carried_by_promises(until)

    def receive_read(self, sent_at: float, records: Sequence[LeaseRecord]) -> None:
        """Apply all records up to the head; `sent_at` precedes the request."""
        self.may_act()
        now = self._clock.read_monotonic()
        for record in records:
            if record.shard != self.shard:
                continue
            previous = self._fold.term
            term = self._fold.apply(record)
            if term is not None:
                self._begin_term(term, previous, now)
        self._read_valid_until = max(
            self._read_valid_until, sent_at + self.times.read_valid_s
        )
        if self.holds:
            self.lapsed = False
            self._unread_until = max(
                self._unread_until, sent_at + self.times.unread_limit_s
            )

    def give_promise(self, number: int) -> bool:
        """Promise the holder of term `number` not to act for `promise_kept_s`."""
        if self.claimed_on is not None or (self.holds and self._is_settled):
            return False
        if self.seen is not None and self.seen.number > number:
            return False
        self._keep_promise()
        return True

    @property
    def _is_settled(self) -> bool:
        return self.seen is not None and self.seen.settled

    def list_promisers(self) -> frozenset[InstanceId]:
        """Return the instances whose promises the holder needs."""
        if self.seen is None:
            return frozenset()
        needed = self.seen.successors
        if self.claimed_on is not None:
            needed |= self.claimed_on.successors
        return needed - {self.node.instance}

    def receive_promise(
        self, successor: InstanceId, number: int, sent_at: float
    ) -> None:
        """Record a promise for term `number`; `sent_at` precedes the request."""
        self.may_act()
        if self.seen is None or not self.holds or self.seen.number != number:
            return
        until = sent_at + self.times.promise_s
        self._promises[successor] = max(self._promises.get(successor, NEVER), until)

    def claim(
        self, record_id: LeaseRecordId, successors: frozenset[InstanceId]
    ) -> LeaseRecord | None:
        """Return a takeover record to append, None if no claim is allowed now."""
        if self.stopped or self.holds or self.claimed_on is not None:
            return None
        if not self._fold.may_append:
            return None
        return self._write(RecordKind.TAKEOVER, record_id, self.node, successors)

    def renew(
        self, record_id: LeaseRecordId, successors: frozenset[InstanceId]
    ) -> LeaseRecord | None:
        """Return a record with a new closed set of successors, None unless acting."""
        if self.claimed_on is not None or not self.may_act():
            return None
        return self._write(RecordKind.RENEWAL, record_id, self.node, successors)

    def hand_over(
        self, record_id: LeaseRecordId, successor: LeaseHolder
    ) -> LeaseRecord | None:
        """Stop acting permanently; return the record that names the next holder."""
        acted = self.may_act() and self.claimed_on is None
        self.stopped = True
        if not acted or self.seen is None:
            return None
        return self._write(
            RecordKind.HANDOVER, record_id, successor, self.seen.successors
        )

    def drop_claim(self) -> None:
        """Discard a record that certainly was not and will not be appended."""
        self.claimed_on = None

    def _keep_promise(self) -> None:
        """Set the time until which this daemon must not act."""
        self._promise_kept_until = (
            self._clock.read_monotonic() + self.times.promise_kept_s
        )

    def _begin_term(
        self, term: LeaseTerm, previous: LeaseTerm | None, now: float
    ) -> None:
        """Start the wait that a newly read term requires."""
        if previous is None or previous.holder != term.holder:
            self.tenure = number_tenure(self.era, term.number)
        if term.wait is WaitClass.NONE:  # written only by a holder that may act
            self._wait_until = now
        else:
            wait_s = self._find_wait(term.wait)
            self._wait_until = max(self._wait_until, now + wait_s)
        if self.claimed_on is not None and term.number >= self.claimed_on.number:
            self.claimed_on = None
        if term.wait is not WaitClass.NONE:
            self._promises.clear()
            self.lapsed = True

    def _find_wait(self, wait: WaitClass) -> float:
        """Return the age in seconds that a record must reach before its holder acts."""
        if wait is WaitClass.TAKEOVER:
            return self.times.takeover_wait_s
        return self.times.newcomer_wait_s

    def _find_wait_end(self) -> float:
        """Return the time from which this daemon may act as the holder."""
        if self.seen is not None and self.seen.wait is WaitClass.NONE:
            return self._wait_until
        return max(self._wait_until, self._promise_kept_until)

    def _is_carried_by_promises(self, now: float) -> bool:
        """Return whether the promises of all possible successors are valid at `now`."""
        if now >= self._unread_until:
            return False
        return all(
            now < self._promises.get(successor, NEVER)
            for successor in self.list_promisers()
        )

    def _write(
        self,
        kind: RecordKind,
        record_id: LeaseRecordId,
        holder: LeaseHolder,
        successors: frozenset[InstanceId],
    ) -> LeaseRecord:
        """Build a record on the newest term; it is in doubt until read back."""
        record = LeaseRecord(
            shard=self.shard,
            record_id=record_id,
            number=self.seen.number + 1 if self.seen else 1,
            builds_on=self.seen.record_id if self.seen else NO_RECORD,
            kind=kind,
            writer=self.node,
            holder=holder,
            successors=successors,
        )
        self.claimed_on = record
        return record


def number_tenure(era: StoreEra, number: int) -> int:
    """Return a number for the term of an era that no term of another era has."""
    return (era - FIRST_ERA) << TENURE_ERA_SHIFT | number
