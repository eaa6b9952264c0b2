"""Keep the departures of the local target in the memory of other daemons."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.membership.const import (
    DEPARTURE_ATTEMPTS,
    DEPARTURE_CONFIRM_S,
    DEPARTURE_HOLDERS,
    DEPARTURE_REQUEST_TIMEOUT_S,
    DEPARTURE_STOP_TIMEOUT_S,
    HOLDERS_PER_DISTANCE,
    RECALL_ATTEMPTS,
    RECALL_INTERVAL_S,
    RECALL_LIMIT_S,
    RECALL_PEERS_PER_DISTANCE,
    RECALL_PERIOD_S,
)
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.codec import (
    decode_departure_reply,
    decode_departure_request,
    encode_departure_reply,
    encode_departure_request,
)
from corianderhold.protocol.membership.model import (
    DepartureReply,
    DepartureRequest,
    MalformedMessageError,
)
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.state.membership.const import INSTANCE_DEPARTURES_MAX
from corianderhold.state.membership.departures import DepartureTable
from corianderhold.state.membership.model import Member, MemberState
from corianderhold.state.membership.target import Departure

STORE = "store"  # as a holder, beside the instances of daemons

ListMembers = Callable[[], tuple[Member, ...]]


@dataclass
class Replication:
    """
    The copies of one departure.

    `pending` and `holders` are instances of daemons, or STORE. `is_far` is whether a
    holder does not fail together with the failure domain of this daemon.
    """

    pending: set[str] = field(default_factory=set)
    holders: set[str] = field(default_factory=set)
    needs_far: bool = False
    is_far: bool = False

    @property
    def is_settled(self) -> bool:
        """Return whether there are enough copies, or no more to come."""
        if not self.pending:
            return True
        enough = len(self.holders) >= DEPARTURE_HOLDERS
        return enough and (self.is_far or not self.needs_far)


class DepartureKnowledge(Enum):
    """
    What a start knows of the departures that earlier starts have acknowledged.

    With PARTIAL, it knows those that the log or a running daemon has, but others may
    have been kept only by daemons that have been restarted since. With COMPLETE, there
    are no others. With EXPIRED, a heartbeat sent before this start would have arrived.
    """

    NONE = "none"
    PARTIAL = "partial"
    COMPLETE = "complete"
    EXPIRED = "expired"


FINAL_KNOWLEDGE = (DepartureKnowledge.COMPLETE, DepartureKnowledge.EXPIRED)


@dataclass
class Recall:
    """
    What peers have replied to this start of the daemon.

    `settled` are the peers that were running RECALL_LIMIT_S before it: they have what
    they were sent for an earlier start.
    """

    attempts: dict[InstanceId, int] = field(default_factory=dict)
    replied: set[InstanceId] = field(default_factory=set)
    settled: set[InstanceId] = field(default_factory=set)
    is_synchronized: bool = False
    is_log_read: bool = False
    names_others: bool = False
    is_first_start: bool = False


class DepartureReplicator:
    """
    Copy departures to a few peers, and ask peers for them after a start.

    A departure outlives this daemon once a peer or the log has it. `on_recalled` is
    called whenever this start knows more of what earlier ones have recorded; after
    RECALL_LIMIT_S in any case, as a domain that is cut off must serve. Any thread may
    call.
    """

    def __init__(
        self,
        instance: InstanceId,
        domain: FailureDomainId,
        list_members: ListMembers,
        client: ControlClient,
        clock: Clock,
        metrics: Metrics,
        on_departure: Callable[[Departure], None],
        on_recalled: Callable[[DepartureKnowledge], None],
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._list_members = list_members
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._on_departure = on_departure
        self._on_recalled = on_recalled
        self._table = DepartureTable(clock)
        self._changed = threading.Condition()
        self._replications: dict[Departure, Replication] = {}
        self._recall = Recall()
        self._knowledge = DepartureKnowledge.NONE
        self._started_at = clock.read_monotonic()
        self._recall_due = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run_recall, name="departure-recall", daemon=True
        )

    @property
    def is_recalled(self) -> bool:
        """Return whether this start knows what the log and its peers have."""
        return self._knowledge is not DepartureKnowledge.NONE

    @property
    def knowledge(self) -> DepartureKnowledge:
        """Return what this start knows of departures before it."""
        return self._knowledge

    def start(self) -> None:
        """Start to ask peers for the departures of an earlier start."""
        self._started_at = self._clock.read_monotonic()
        self._thread.start()

    def stop(self) -> None:
        """Stop asking; requests in progress have time-outs."""
        self._stopped.set()
        self._recall_due.set()
        if self._thread.ident is not None:
            self._thread.join(DEPARTURE_STOP_TIMEOUT_S)

    def replicate(self, departure: Departure) -> None:
        """Send a departure to peers without waiting, unless it is already held."""
        peers = self._choose_peers(HOLDERS_PER_DISTANCE)
        with self._changed:
            known = self._replications.pop(departure, None)
            if known is not None and (known.holders or known.pending - {STORE}):
                self._replications[departure] = known
                return
            replication = Replication({peer.instance for peer in peers} | {STORE})
            replication.needs_far = any(map(self._is_far, peers))
            self._replications[departure] = replication
            while len(self._replications) > INSTANCE_DEPARTURES_MAX:
                self._replications.pop(next(iter(self._replications)))
        for peer in peers:
            threading.Thread(
                target=self._send,
                args=(peer, departure),
                name="departure-send",
                daemon=True,
            ).start()

    def await_holders(self, departure: Departure, *, needs_log: bool = False) -> bool:
        """
        Return whether a departure would outlive this daemon.

        Waits at most DEPARTURE_CONFIRM_S for enough holders; one is sufficient if
        others do not respond. With `needs_log` only the log counts, as it also outlives
        a restart of all daemons.
        """

        def find() -> Replication:
            return self._replications.get(departure, Replication())

        def is_settled() -> bool:
            return STORE not in find().pending if needs_log else find().is_settled

        with self._changed:
            self._changed.wait_for(is_settled, DEPARTURE_CONFIRM_S)
            holders = find().holders
            return STORE in holders if needs_log else bool(holders)

    def record_append(self, departure: Departure, *, succeeded: bool) -> None:
        """Record the outcome of an attempt to append a departure to the log."""
        self._record_outcome(departure, STORE, held=succeeded, is_far=True)

    def record_log_read(self, names_others: bool, is_first_start: bool = False) -> None:
        """
        Record that the departures in the log are known.

        `names_others` is whether the log names other members, `is_first_start` whether
        it shows that this daemon has not been started before.
        """
        recall = self._recall
        recall.names_others = recall.names_others or names_others
        if not recall.is_log_read:
            recall.is_first_start = is_first_start
        recall.is_log_read = True
        self._recall_due.set()

    def record_synchronized(self) -> None:
        """Record that all members that a peer knows are listed."""
        if not self._recall.is_synchronized:
            self._recall.is_synchronized = True
            self._recall_due.set()

    def handle_member(self, member: Member) -> None:
        """Ask a peer that has been found."""
        if not self.is_recalled and member.state is MemberState.ALIVE:
            self._recall_due.set()

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Keep a peer's departures; raise MalformedMessageError."""
        request = decode_departure_request(body)
        if request.departures:
            self._table.keep(sender.instance, request.departures)
        uptime_s = self._clock.read_monotonic() - self._started_at
        kept = self._table.find(sender.instance)
        return encode_departure_reply(DepartureReply(kept, uptime_s))

    def _send(self, peer: Member, departure: Departure) -> None:
        for _ in range(DEPARTURE_ATTEMPTS):
            reply = self._request(peer, (departure,))
            if isinstance(reply, DepartureReply) or reply is ControlFailure.REJECTED:
                break
        held = isinstance(reply, DepartureReply)
        self._record_outcome(departure, peer.instance, held, self._is_far(peer))

    def _record_outcome(
        self, departure: Departure, holder: str, held: bool, is_far: bool
    ) -> None:
        with self._changed:
            replication = self._replications.get(departure)
            if replication is None:
                return
            replication.pending.discard(holder)
            if held:
                replication.holders.add(holder)
                replication.is_far = replication.is_far or is_far
            self._changed.notify_all()

    def _request(
        self, peer: Member, departures: tuple[Departure, ...] = ()
    ) -> DepartureReply | ControlFailure:
        body = encode_departure_request(DepartureRequest(departures))
        answer = self._client.request(
            peer.peer_address,
            ControlTopic.DEPARTURE,
            body,
            DEPARTURE_REQUEST_TIMEOUT_S,
        )
        self._metrics.increment("departure_bytes_sent", len(body))
        if isinstance(answer, Err):
            self._metrics.increment(f"departure_request_{answer.err_value.value}")
            return answer.err_value
        try:
            return decode_departure_reply(answer.ok_value)
        except MalformedMessageError as error:
            log_warning("departure_malformed", peer=peer.instance, error=str(error))
            return ControlFailure.REJECTED

    def _choose_peers(
        self,
        per_distance: int,
        states: tuple[MemberState, ...] = (MemberState.ALIVE,),
    ) -> list[Member]:
        """
        Return the best ranked peers of the own failure domain and of others.

        The ranking depends only on the instances, so that a restarted daemon asks the
        peers that its earlier start has sent to.
        """
        peers = sorted(
            (
                member
                for member in self._list_members()
                if member.instance != self._instance and member.state in states
            ),
            key=lambda member: hash_pair(self._instance, member.instance),
        )
        near = [peer for peer in peers if not self._is_far(peer)]
        far = [peer for peer in peers if self._is_far(peer)]
        return near[:per_distance] + far[:per_distance]

    def _is_far(self, peer: Member) -> bool:
        return peer.domain != self._domain

    def _run_recall(self) -> None:
        end_at = self._started_at + RECALL_PERIOD_S
        while not self._stopped.is_set() and self._clock.read_monotonic() < end_at:
            try:
                self._recall_once()
            except Exception as error:  # noqa: BLE001
                # A failed step must not end the thread.
                log_warning("departure_recall_failed", error=repr(error))
            self._recall_due.wait(RECALL_INTERVAL_S)
            self._recall_due.clear()

    def _recall_once(self) -> None:
        """Ask the peers that have not replied, then check what is known."""
        recall = self._recall
        lists_all = recall.is_synchronized  # read before the members
        peers = self._choose_peers(RECALL_PEERS_PER_DISTANCE)
        asked = [
            peer
            for peer in peers
            if peer.instance not in recall.replied
            and recall.attempts.get(peer.instance, 0) < RECALL_ATTEMPTS
        ]
        threads = [
            threading.Thread(
                target=self._ask, args=(peer,), name="departure-ask", daemon=True
            )
            for peer in asked
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(DEPARTURE_REQUEST_TIMEOUT_S)
        self._improve_knowledge(self._find_knowledge(peers, lists_all))

    def _improve_knowledge(self, knowledge: DepartureKnowledge) -> None:
        known = self._knowledge
        if knowledge in (known, DepartureKnowledge.NONE) or known in FINAL_KNOWLEDGE:
            return
        log_event(
            "departures_known",
            peers=len(self._recall.replied),
            log_read=self._recall.is_log_read,
            knowledge=knowledge.value,
            seconds=self._clock.read_monotonic() - self._started_at,
        )
        self._on_recalled(knowledge)
        self._knowledge = knowledge

    def _ask(self, peer: Member) -> None:
        recall = self._recall
        reply = self._request(peer)
        recall.attempts[peer.instance] = recall.attempts.get(peer.instance, 0) + 1
        if isinstance(reply, DepartureReply):
            for departure in reply.departures:
                self._on_departure(departure)
            elapsed_s = self._clock.read_monotonic() - self._started_at
            if reply.uptime_s - elapsed_s >= RECALL_LIMIT_S:
                recall.settled.add(peer.instance)
        if isinstance(reply, DepartureReply) or reply is ControlFailure.REJECTED:
            recall.replied.add(peer.instance)

    def _find_knowledge(
        self, peers: list[Member], lists_all: bool
    ) -> DepartureKnowledge:
        """
        Return what is known once the chosen peers have been asked.

        As long as only a few members are known, those that keep a departure may be
        missing.
        """
        recall = self._recall
        if self._clock.read_monotonic() - self._started_at >= RECALL_LIMIT_S:
            return DepartureKnowledge.EXPIRED
        if not peers:
            is_alone = recall.is_log_read and not recall.names_others
            return DepartureKnowledge.COMPLETE if is_alone else DepartureKnowledge.NONE
        is_asked = all(peer.instance in recall.attempts for peer in peers)
        has_reply = any(peer.instance in recall.replied for peer in peers)
        if not (is_asked and lists_all and has_reply):
            return DepartureKnowledge.NONE
        if not recall.is_log_read and not recall.settled:
            return DepartureKnowledge.NONE
        is_first_start = recall.is_log_read and recall.is_first_start
        if is_first_start or self._are_holders_settled(peers):
            return DepartureKnowledge.COMPLETE
        return DepartureKnowledge.PARTIAL

    def _are_holders_settled(self, peers: list[Member]) -> bool:
        """
        Return whether all that may keep a departure have been running all along.

        The log does not tell: it lacks what could not be appended.
        """
        states = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD)
        holders = self._choose_peers(HOLDERS_PER_DISTANCE, states)
        names = {peer.instance for peer in (*peers, *holders)}
        return names <= self._recall.settled


def hash_pair(instance: InstanceId, peer: InstanceId) -> bytes:
    """Return the rendezvous hash of a peer for an instance."""
    return blake2b(f"{instance}\0{peer}".encode(), digest_size=8).digest()
