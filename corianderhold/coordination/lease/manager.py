"""Manage the leases of the shards that this daemon may hold."""

import threading
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err, Ok

from corianderhold.clock import Clock
from corianderhold.coordination.lease.const import (
    CANDIDATE_READ_INTERVAL_S,
    CANDIDATES_MAX,
    CLAIM_DELAY_PER_RANK_S,
    HOLDER_READ_INTERVAL_S,
    HOLDER_SILENCE_S,
    LOG_TIMEOUT_S,
    PROMISE_INTERVAL_S,
    PROMISE_MARGIN_S,
    PROMISED_READ_INTERVAL_S,
    RECENT_PROMISE_REQUEST_S,
    RECORD_RENEWAL_INTERVAL_S,
    RESEND_INTERVAL_S,
    STEP_INTERVAL_S,
    SUCCESSORS_MAX,
)
from corianderhold.coordination.lease.lease import Lease
from corianderhold.coordination.lease.promises import PromiseClient
from corianderhold.coordination.lease.ranking import MemberFilter, rank_members
from corianderhold.coordination.lease.stream_reader import (
    HeadReading,
    LeaseStreamReader,
)
from corianderhold.ids import FIRST_ERA, InstanceId, StoreEra
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.lease.codec import (
    PromiseMessageError,
    decode_request,
    encode_reply,
)
from corianderhold.protocol.lease.model import PromiseAsk, PromiseReply
from corianderhold.protocol.peer.control import ControlClient, ControlSender
from corianderhold.protocol.store.model import AppendFailure, AppendOnlyLog, StreamName
from corianderhold.state.lease.codec import encode_record
from corianderhold.state.lease.model import (
    LeaseHolder,
    LeaseRecord,
    LeaseRecordId,
    ShardId,
    build_record_id,
)
from corianderhold.state.membership.incarnation import extract_start_number
from corianderhold.state.membership.model import MemberDirectory, MemberState

NEVER = float("-inf")


@dataclass
class _ShardLease:
    """
    The lease of one shard, and the times of the last actions on it.

    `earlier` is the lease of an earlier era of the store, while promises still carry
    it.
    """

    lease: Lease
    asked_at: float
    sent_at: float = NEVER
    promised_at: float = NEVER
    renewed_at: float = field(default=NEVER)
    in_doubt: LeaseRecord | None = None
    earlier: Lease | None = None
    holder_before: InstanceId | None = None

    def find_acting(self) -> Lease | None:
        """Return the lease that allows this daemon to act now, None if none does."""
        if self.earlier is not None:
            if self.earlier.may_act():
                return self.earlier
            self.earlier = None
        return self.lease if self.lease.may_act() else None

    def list_leases(self) -> list[Lease]:
        """Return the current lease and that of an earlier era, if any."""
        return [self.lease] if self.earlier is None else [self.earlier, self.lease]


class LeaseManager:
    """
    Claim, renew and hand over the shards that this daemon may hold.

    `shards` gives the filter of the candidates of each shard, which include this
    daemon. One thread reads, appends and requests promises; promises are given on the
    threads of peer links. The lock protects the leases and is never held during a
    network request.
    """

    def __init__(
        self,
        node: LeaseHolder,
        shards: Mapping[ShardId, MemberFilter],
        clock: Clock,
        log: AppendOnlyLog,
        control: ControlClient,
        members: MemberDirectory,
    ) -> None:
        self._node = node
        self._filters = shards
        self._clock = clock
        self._log = log
        self._promise_client = PromiseClient(clock, control, members)
        self._members = members
        self._follower = LeaseStreamReader(log, clock)
        self._lock = threading.Lock()
        self._started_at = clock.read_monotonic()
        self._shard_leases = {
            shard: _ShardLease(Lease(shard, node, clock, True), self._started_at)
            for shard in shards
        }
        self._read_at = NEVER
        self._head_read_at = NEVER
        self._read_once = False
        self._era = FIRST_ERA
        self._record_count = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leases", daemon=True)

    def start(self) -> None:
        """Start the thread, if there are shards to hold."""
        if self._shard_leases:
            self._thread.start()

    def stop(self) -> None:
        """Stop the thread and hand over the shards held."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(2 * LOG_TIMEOUT_S)
        self.hand_over()

    def _run(self) -> None:
        """Run `step` periodically until stopped."""
        while not self._stopping.wait(STEP_INTERVAL_S):
            try:
                self.step()
            except Exception as error:  # noqa: BLE001
                log_warning("lease_step_failed", error=repr(error))

    def step(self) -> None:
        """Read the log, renew promises, and append claims and renewals, as due."""
        self._read_if_due()
        self._renew_promises()
        for shard, entry in self._shard_leases.items():
            record = self._choose_record(shard, entry)
            if record is not None:
                self._append(entry, record)

    def find_tenure(self, shard: ShardId) -> int | None:
        """Return the term in which this daemon took the shard, None if not acting."""
        entry = self._shard_leases.get(shard)
        if entry is None:
            return None
        with self._lock:
            acting = entry.find_acting()
            return None if acting is None else acting.tenure

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        """
        Return the presumed holder, None if there is none.

        After a restore of the store it is the one known before, until a new term.
        """
        entry = self._shard_leases.get(shard)
        if entry is None:
            return None
        term = entry.list_leases()[0].seen
        if term is not None and not term.settled:
            return entry.holder_before or term.holder.instance
        return term.holder.instance if term else None

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Give the requested promises where the leases allow them."""
        try:
            request = decode_request(body)
        except PromiseMessageError as error:
            log_warning("promise_request_malformed", error=repr(error))
            return encode_reply(PromiseReply(()))
        promised = []
        with self._lock:
            for ask in request.asks:
                entry = self._shard_leases.get(ask.shard)
                if entry is None or entry.find_acting() is not None:
                    continue
                if entry.lease.give_promise(ask.term):
                    entry.asked_at = self._clock.read_monotonic()
                    promised.append(ask.shard)
        return encode_reply(PromiseReply(tuple(promised)))

    def hand_over(self) -> None:
        """Stop acting; append a record that names the next holder if there is one."""
        for shard, entry in self._shard_leases.items():
            with self._lock:
                term = entry.lease.seen
                next_holder = self._find_next_holder(
                    shard, term.successors if term else frozenset()
                )
                entry.earlier = None
                if next_holder is None or not entry.lease.may_act():
                    entry.lease.stopped = True
                    continue
                record = entry.lease.hand_over(self._name_record(), next_holder)
            if record is not None:
                log_event("lease_handed_over", shard=shard, to=next_holder.instance)
                self._append(entry, record)

    def _find_next_holder(
        self, shard: ShardId, successors: frozenset[InstanceId]
    ) -> LeaseHolder | None:
        """Return the live successor of the best rank, None if there is none."""
        for member in rank_members(self._members, self._filters[shard], shard):
            if member.instance in successors:
                return LeaseHolder(
                    member.instance, extract_start_number(member.incarnation)
                )
        return None

    def _read_if_due(self) -> None:
        """Read the stream if this daemon is a candidate and the interval has passed."""
        now = self._clock.read_monotonic()
        if now - self._read_at < HOLDER_READ_INTERVAL_S:
            return
        shards = [shard for shard in self._shard_leases if self._is_candidate(shard)]
        if not shards:
            return
        with self._lock:
            entries = [self._shard_leases[shard] for shard in shards]
            interval = min(self._find_read_interval(entry, now) for entry in entries)
        if now - self._read_at < interval:
            return
        reading = self._follower.read_head()
        self._read_at = now
        if reading is not None:
            self._head_read_at = reading.sent_at
            self._take_reading(reading)

    def _find_read_interval(self, entry: _ShardLease, now: float) -> float:
        """
        Return the read interval in seconds that one lease needs.

        A holder may read rarely while it can act on promises alone, and so may a
        successor while it gives them. A claim is only confirmed by a read.
        """
        lease = entry.lease
        if lease.holds:
            carried = lease.is_covered_by_promises(PROMISE_MARGIN_S)
            return PROMISED_READ_INTERVAL_S if carried else HOLDER_READ_INTERVAL_S
        if lease.claimed_on is None and now - entry.asked_at < RECENT_PROMISE_REQUEST_S:
            return PROMISED_READ_INTERVAL_S
        return CANDIDATE_READ_INTERVAL_S

    def _take_reading(self, reading: HeadReading) -> None:
        """Apply the records to the leases, which are reset after a gap."""
        with self._lock:
            if reading.era != self._era:
                self._begin_era(reading.era)
            if reading.gap:
                self._forget_history()
            self._read_once = True
            for shard, entry in self._shard_leases.items():
                before = entry.lease.seen
                entry.lease.receive_read(reading.sent_at, reading.records)
                term = entry.lease.seen
                if term is not None and term != before:
                    entry.asked_at = self._clock.read_monotonic()
                    log_event(
                        "lease_term_seen",
                        shard=shard,
                        term=term.number,
                        holder=term.holder.instance,
                        wait=term.wait,
                    )

    def _begin_era(self, era: StoreEra) -> None:
        """
        Replace the leases after a restore of the store.

        What this daemon holds by promises stays valid, since no lease of the new era
        takes effect earlier than promises end without a read.
        """
        self._era = era
        for shard, entry in self._shard_leases.items():
            entry.earlier = entry.find_acting()
            term = entry.lease.seen
            if term is not None and term.settled:
                entry.holder_before = term.holder.instance
            entry.lease = Lease(shard, self._node, self._clock, True, None, era)
            entry.in_doubt = None
            entry.sent_at = NEVER
            if entry.earlier is not None:
                log_event("lease_kept_by_promises", shard=shard, era=era)

    def _forget_history(self) -> None:
        """Reset the leases to an incomplete history; stop those that had been read."""
        for shard, entry in self._shard_leases.items():
            entry.earlier = None
            entry.lease = Lease(shard, self._node, self._clock, False, None, self._era)
            entry.lease.stopped = self._read_once

    def _is_candidate(self, shard: ShardId) -> bool:
        """Return whether this daemon holds the shard or may become its holder."""
        term = self._shard_leases[shard].lease.seen
        if term is not None and self._node.instance in term.members:
            return True
        return self._find_rank(shard) < CANDIDATES_MAX

    def _find_rank(self, shard: ShardId) -> int:
        """Return this daemon's rank for a shard, CANDIDATES_MAX if it has none."""
        ranked = rank_members(self._members, self._filters[shard], shard)
        for rank, member in enumerate(ranked):
            if member.instance == self._node.instance:
                return rank
        return CANDIDATES_MAX

    def _choose_record(self, shard: ShardId, entry: _ShardLease) -> LeaseRecord | None:
        """Return the record to append for a shard, None if none is due."""
        if not self._read_once:
            return None
        with self._lock:
            now = self._clock.read_monotonic()
            lease = entry.lease
            if lease.stopped or now - entry.sent_at < RESEND_INTERVAL_S:
                return None
            if lease.claimed_on is not None:
                return lease.claimed_on
            if lease.holds:
                return self._choose_renewal(shard, entry, now)
            if not self._is_claim_due(shard, entry, now):
                return None
            log_event("lease_claimed", shard=shard, rank=self._find_rank(shard))
            return lease.claim(self._name_record(), self._choose_successors(shard))

    def _choose_renewal(
        self, shard: ShardId, entry: _ShardLease, now: float
    ) -> LeaseRecord | None:
        """Renew if the successors changed, or before retention removes the record."""
        term = entry.lease.seen
        wanted = self._choose_successors(shard)
        aged = now - entry.renewed_at >= RECORD_RENEWAL_INTERVAL_S
        changed = term is not None and term.successors != wanted
        if not (aged or changed):
            return None
        record = entry.lease.renew(self._name_record(), wanted)
        if record is not None:
            entry.renewed_at = now
        return record

    def _is_claim_due(self, shard: ShardId, entry: _ShardLease, now: float) -> bool:
        """
        Return whether the holder seems to have failed and it is this daemon's turn.

        Without access to the log a claim could not succeed, and would only end the
        promises that the holder acts on.
        """
        if now - self._head_read_at > 2 * CANDIDATE_READ_INTERVAL_S:
            return False
        if entry.earlier is not None:
            return True
        term = entry.lease.seen
        rank = self._find_rank(shard)
        if rank >= CANDIDATES_MAX and (
            term is None or self._node.instance not in term.members
        ):
            return False
        silence = now - max(entry.asked_at, self._started_at)
        least = HOLDER_SILENCE_S if term is not None else 0.0
        if silence < least + rank * CLAIM_DELAY_PER_RANK_S:
            return False
        if term is None or self._node.instance in term.members:
            return True
        return not any(
            member.state is MemberState.ALIVE
            for member in self._members.list_members()
            if member.instance in term.members
        )

    def _choose_successors(self, shard: ShardId) -> frozenset[InstanceId]:
        """Return the live members of the best ranks, except this daemon."""
        ranked = rank_members(self._members, self._filters[shard], shard)
        others = [m.instance for m in ranked if m.instance != self._node.instance]
        return frozenset(others[:SUCCESSORS_MAX])

    def _append(self, entry: _ShardLease, record: LeaseRecord) -> None:
        """Append a record; without a definite result it stays in doubt."""
        entry.sent_at = self._clock.read_monotonic()
        answer = self._log.append(
            StreamName.LEASES,
            encode_record(record),
            LOG_TIMEOUT_S,
            key=str(record.shard),
        )
        first = entry.in_doubt != record
        entry.in_doubt = record
        match answer:
            case Ok(_):
                self._read_at = NEVER
            case Err(AppendFailure.NOT_APPENDED) if first:
                with self._lock:
                    entry.lease.drop_claim()

    def _renew_promises(self) -> None:
        """Request promises from all successors of the shards held, one request each."""
        for successor, asks in self._list_due_asks().items():
            answer = self._promise_client.ask(successor, asks)
            if answer is None:
                continue
            with self._lock:
                for ask in answer.promised:
                    for lease in self._shard_leases[ask.shard].list_leases():
                        lease.receive_promise(successor, ask.term, answer.sent_at)

    def _list_due_asks(self) -> dict[InstanceId, list[PromiseAsk]]:
        """Return the promise requests that are due, by successor."""
        now = self._clock.read_monotonic()
        asks: dict[InstanceId, list[PromiseAsk]] = defaultdict(list)
        with self._lock:
            for shard, entry in self._shard_leases.items():
                if now - entry.promised_at < PROMISE_INTERVAL_S:
                    continue
                for lease in entry.list_leases():
                    if lease.seen is None or not lease.holds:
                        continue
                    entry.promised_at = now
                    for successor in lease.list_promisers():
                        asks[successor].append(PromiseAsk(shard, lease.seen.number))
        return asks

    def _name_record(self) -> LeaseRecordId:
        """Return a unique record id."""
        self._record_count += 1
        return build_record_id(self._node, self._record_count, self._era)
