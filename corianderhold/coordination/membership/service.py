"""Run membership in a thread that owns the UDP socket and the member table."""

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from corianderhold.clock import PROCESS_STARTED_AT, Clock
from corianderhold.coordination.membership.const import (
    LEAVE_LINGER_S,
    MEMBER_LIMIT_BYTES,
    RECEIVE_LIMIT,
    STOP_TIMEOUT_S,
    TICK_S,
)
from corianderhold.coordination.membership.departures import (
    DepartureKnowledge,
    DepartureReplicator,
)
from corianderhold.coordination.membership.errors import (
    AnnouncementTooLargeError,
    DepartureUnconfirmedError,
)
from corianderhold.coordination.membership.messages import (
    AnnouncementChanged,
    ContactsFound,
    DepartureFound,
    LeaveRequested,
    MemberFound,
    MembersRevived,
    MembersSynchronized,
    RecordsReceived,
    StopRequested,
    StoreRestored,
    TableMessage,
    TargetDeparted,
)
from corianderhold.coordination.membership.sender import OutgoingDatagram
from corianderhold.coordination.membership.swim import Swim
from corianderhold.coordination.membership.sync import answer_request
from corianderhold.coordination.membership.synchronizer import Synchronizer
from corianderhold.coordination.membership.verification import (
    HealthCheck,
    TargetVerifier,
)
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
    StoreEra,
)
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.authentication import DatagramAuthenticator
from corianderhold.protocol.membership.codec import (
    decode_request,
    encode_member,
    encode_reply,
)
from corianderhold.protocol.peer.control import ControlClient, ControlSender
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.membership.const import TARGET_TTL_S
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import (
    Departure,
    LocalTarget,
    TargetAnnouncement,
    TargetStatus,
)
from corianderhold.traffic import Purpose, TrafficMeter
from corianderhold.transport.datagram.endpoint import DatagramEndpoint

MemberListener = Callable[[Member], None]
TargetListener = Callable[[TargetStatus], None]


@dataclass(frozen=True)
class MembershipSettings:
    """
    Identity of a daemon and the addresses that it contacts first.

    `seeds` are gossip addresses; `secret` is shared by the fleet. Port 0 in
    `gossip_address` lets the operating system choose. `target_ttl_s` is how long a
    heartbeat of the local target is valid, in seconds. `started_at` is when this
    process started, on the monotonic clock.
    """

    instance: InstanceId
    incarnation: Incarnation
    domain: FailureDomainId
    region: RegionId
    peer_address: Address
    gossip_address: Address
    seeds: tuple[Address, ...]
    secret: bytes
    target_ttl_s: float = TARGET_TTL_S
    started_at: float = PROCESS_STARTED_AT


def build_own_member(settings: MembershipSettings, gossip_address: Address) -> Member:
    """Return the first announcement of a daemon, without a target."""
    return Member(
        settings.instance,
        settings.incarnation,
        1,
        settings.domain,
        settings.region,
        settings.peer_address,
        gossip_address,
        None,
        TargetState.ABSENT,
        MemberState.ALIVE,
    )


def check_size(member: Member) -> None:
    """Raise AnnouncementTooLargeError if the names do not fit into a datagram."""
    size_bytes = len(encode_member(member))
    if size_bytes > MEMBER_LIMIT_BYTES:
        raise AnnouncementTooLargeError(size_bytes)


class MembershipService:
    """
    Track the members of the fleet and announce the local target to them.

    Implements `Members`, `Component`, `TargetSource`, `TargetRegistrar` and the
    control handler of topic MEMBERSHIP. The view is immutable: any thread may read it
    without a lock, and the membership thread replaces it.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        clock: Clock,
        random: Random,
        log: AppendOnlyLog,
        control: ControlClient,
        metrics: Metrics,
        meter: TrafficMeter | None = None,
        health: HealthCheck | None = None,
    ) -> None:
        self._settings = settings
        self._meter = meter
        self._clock = clock
        self._metrics = metrics
        self._target = LocalTarget(clock, settings.target_ttl_s, is_open=False)
        self._verifier = None
        if health is not None:
            self._verifier = TargetVerifier(
                health, clock, self._open_verified, settings.started_at
            )
        self._announced = self._target.read()
        self._departure: Departure | None = None
        self._endpoint = DatagramEndpoint(settings.gossip_address)
        self._own = build_own_member(settings, self._endpoint.address)
        self._swim = Swim(
            self._own,
            settings.seeds,
            DatagramAuthenticator(settings.secret),
            random,
            metrics,
            clock.read_monotonic(),
        )
        self._view = self._swim.view
        self.departures = DepartureReplicator(
            settings.instance,
            settings.domain,
            self.list_members,
            control,
            clock,
            metrics,
            self._recall_departure,
            self._trust_heartbeats,
        )
        self._synchronizer = Synchronizer(
            self._own,
            lambda: self._view,
            self._post,
            log,
            control,
            clock,
            Random(random.getrandbits(64)),
            metrics,
            self.departures,
        )
        self._listeners: list[MemberListener] = []
        self._target_listeners: list[TargetListener] = []
        self._messages: queue.SimpleQueue[TableMessage] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )
        self._left = threading.Event()
        self._left_at_s: float | None = None
        self._joined = False
        self._is_synchronized = False
        self._stopping = False

    @property
    def gossip_address(self) -> Address:
        """Return the address that gossip is received at."""
        return self._endpoint.address

    def start(self) -> None:
        """Start to gossip and to find members through the seeds and the log."""
        check_size(self._own)
        self._swim.resume(self._clock.read_monotonic())
        self._thread.start()
        self._synchronizer.start()
        self.departures.start()
        log_event(
            "membership_started",
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            gossip_address=str(self.gossip_address),
            seeds=len(self._settings.seeds),
        )

    def leave(self) -> None:
        """Drain the target permanently and announce that this daemon leaves."""
        self._target.drain_permanently()
        if self._left_at_s is not None:
            return
        self._left_at_s = self._clock.read_monotonic()
        self._notify_target_listeners()
        self._post(LeaveRequested())
        if self._thread.is_alive():
            self._left.wait(LEAVE_LINGER_S)

    def stop(self) -> None:
        """Leave, gossip the leave for LEAVE_LINGER_S, then stop the threads."""
        started = self._thread.ident is not None
        if started:
            self.departures.stop()
            self.leave()
            self._await_leave_gossip()
            self._post(StopRequested())
            self._thread.join(STOP_TIMEOUT_S)
            self._synchronizer.stop()
        self._endpoint.close()

    def _await_leave_gossip(self) -> None:
        """Wait until the leave has been gossiped for LEAVE_LINGER_S."""
        now_s = self._clock.read_monotonic()
        left_at_s = now_s if self._left_at_s is None else self._left_at_s
        if len(self._view.live) > 0:
            time.sleep(max(0.0, left_at_s + LEAVE_LINGER_S - now_s))

    def add_listener(self, listener: MemberListener) -> None:
        """Call `listener` with each changed member, on the membership thread."""
        self._listeners.append(listener)

    def list_owners(self, service: ServiceName) -> tuple[Member, ...]:
        """Return live members whose target serves `service`, in no particular order."""
        return self._view.owners.get(service, ())

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return a member, also if it is dead or has left, or None."""
        return self._view.by_instance.get(instance)

    def list_members(self) -> tuple[Member, ...]:
        """Return all known members, dead and left ones included."""
        return self._view.members

    def list_logged_members(self) -> tuple[Member, ...]:
        """
        Return the fleet that an earlier start of this daemon belonged to.

        It is what the log held when this start first read it; empty before that read,
        or if there was no earlier start.
        """
        return self._synchronizer.logged_members

    def add_target_listener(self, listener: TargetListener) -> None:
        """
        Call `listener` with the target's status, at least on every change.

        It runs synchronously in the thread that makes the change.
        """
        self._target_listeners.append(listener)

    def announce_target(self, announcement: TargetAnnouncement) -> None:
        """
        Accept a heartbeat of the local target, valid for `target_ttl_s` seconds.

        Raises AnnouncementTooLargeError if the name of the service is too long, and
        DepartureUnconfirmedError as `withdraw_target` does.
        """
        check_size(replace(self._own, service=announcement.service))
        self._target.announce(announcement)
        if self._verifier and self._target.needs_verification(announcement):
            self._verifier.handle_heartbeat(announcement)
        departure = None
        if announcement.draining and announcement.target_id is not None:
            started = announcement.started
            departure = Departure(announcement.target_id, started, withdrawn=False)
        self._begin_departure(departure)
        self._await_departure(departure)

    def drain_target(self) -> None:
        """
        Stop new work for the local target, which says that it leaves, and announce it.

        Raises DepartureUnconfirmedError as `withdraw_target` does.
        """
        departure = self._target.drain()
        self._begin_departure(departure)
        self._await_departure(departure)

    def drain_for_operator(self) -> None:
        """
        Stop new work for the local target, which does not know that it drains.

        Raises DepartureUnconfirmedError unless the log has it: if all daemons restart,
        the target cannot tell that it has been drained.
        """
        departure = self._target.drain()
        self._begin_departure(departure)
        self._await_departure(departure, needs_log=True)

    def drain_start(self, status: TargetStatus) -> None:
        """
        Stop new work for a start of the local target that says that it leaves.

        Does not wait until the departure would outlive this daemon, as nothing is
        acknowledged.
        """
        self._begin_departure(self._target.drain_start(status))

    def withdraw_target(self, target_id: str | None, started: int | None) -> None:
        """
        Remove a start of the local target; its late heartbeats are ignored.

        Raises DepartureUnconfirmedError if a restart of this daemon would forget it,
        as neither a peer nor the log has it. It takes effect here all the same.
        """
        departure = self._target.withdraw(target_id, started)
        self._begin_departure(departure)
        self._await_departure(departure)

    def suspend_target(self, status: TargetStatus) -> None:
        """Treat the local target as absent until its next heartbeat."""
        self._target.mark_absent(status)
        self._notify_target_listeners()

    def read_target(self) -> TargetStatus:
        """
        Return the current status of the local target, exact even if gossip stalls.

        The owner reads it before each dispatch and dispatches only if it is SERVING.
        """
        return self._target.read()

    def handle_configuration(self, configuration: Configuration) -> None:
        """Check the target if the configuration has come after its heartbeat."""
        if self._verifier is not None and configuration.health_paths:
            self._verifier.check_due()

    def handle_restored_store(self, era: StoreEra) -> None:
        """Announce this daemon and its target's departure in the log again."""
        self._synchronizer.send(StoreRestored(era))

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Respond to a synchronisation request; raise MalformedMessageError."""
        request = decode_request(body)
        if request.pushed:
            self._post(RecordsReceived(request.pushed))
        reply = answer_request(self._view, request, self._clock.read_monotonic())
        encoded = encode_reply(reply)
        self._metrics.increment("membership_sync_bytes_sent", len(encoded))
        return encoded

    def _notify_target_listeners(self) -> None:
        self._call_target_listeners(self._target.read())
        self._endpoint.wake()

    def _call_target_listeners(self, status: TargetStatus) -> None:
        for listener in self._target_listeners:
            listener(status)

    def _begin_departure(self, departure: Departure | None) -> None:
        """Apply a departure, send it to peers and write it to the log, once."""
        if departure is not None:
            if departure.supersedes(self._departure):
                self._departure = departure
                self._synchronizer.send(TargetDeparted(departure))
            self.departures.replicate(self._departure or departure)
        self._notify_target_listeners()

    def _await_departure(
        self, departure: Departure | None, *, needs_log: bool = False
    ) -> None:
        """Raise DepartureUnconfirmedError if a restart would forget a departure."""
        if departure is None:
            return
        known = self._departure or departure
        if not self.departures.await_holders(known, needs_log=needs_log):
            raise DepartureUnconfirmedError(departure.target_id, needs_log=needs_log)

    def _recall_departure(self, departure: Departure) -> None:
        """Apply a departure that a peer has kept for an earlier start."""
        self._restore_departure(departure)
        if self._departure is None:
            self._departure = departure
            self._synchronizer.send(TargetDeparted(departure))
        self._notify_target_listeners()

    def _restore_departure(self, departure: Departure) -> None:
        log_event(
            "departure_recalled",
            target=departure.target_id,
            withdrawn=departure.withdrawn,
        )
        self._target.restore(departure)

    def _trust_heartbeats(self, knowledge: DepartureKnowledge) -> None:
        """Believe as many heartbeats of the target as is known of its departures."""
        match knowledge:
            case DepartureKnowledge.PARTIAL:
                self._target.open_to_verified()
            case DepartureKnowledge.COMPLETE:
                self._target.open()
            case DepartureKnowledge.EXPIRED:
                self._target.open_to_later()
        if self._verifier is not None:
            in_doubt = knowledge is DepartureKnowledge.PARTIAL
            (self._verifier.begin if in_doubt else self._verifier.end)()
        self._notify_target_listeners()

    def _open_verified(self, announcement: TargetAnnouncement) -> None:
        self._target.verify(announcement)
        self._notify_target_listeners()

    def _post(self, message: TableMessage) -> None:
        self._messages.put(message)
        self._endpoint.wake()

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._run_once()
            except Exception as error:  # noqa: BLE001
                log_warning("membership_failed", error=repr(error))
                self._metrics.increment("membership_failures")
                time.sleep(TICK_S)

    def _run_once(self) -> None:
        received = self._endpoint.receive(TICK_S, RECEIVE_LIMIT)
        now_s = self._clock.read_monotonic()
        for datagram in received:
            self._swim.receive(datagram.data, datagram.source, now_s)
        while not self._messages.empty():
            self._handle(self._messages.get(), now_s)
        self._announce_target(now_s)
        self._swim.tick(now_s)
        for outgoing in self._swim.take_outgoing():
            self._send(outgoing)
        self._publish()
        if self._is_synchronized:
            self.departures.record_synchronized()

    def _send(self, outgoing: OutgoingDatagram) -> None:
        if not self._endpoint.send(outgoing.address, outgoing.data):
            self._metrics.increment("membership_sends_failed")
        elif self._meter is not None:
            size = len(outgoing.data)
            self._meter.count_to_address(Purpose.GOSSIP, outgoing.address, size)

    def _handle(self, message: TableMessage, now_s: float) -> None:
        match message:
            case RecordsReceived(records):
                self._swim.merge_records(records, now_s)
            case MembersSynchronized():
                self._is_synchronized = True
            case ContactsFound(contacts, outranking, names_others, is_first_start):
                if outranking is not None:
                    self._swim.supersede_incarnation(outranking, now_s)
                self._swim.replace_contacts(contacts, now_s)
                self.departures.record_log_read(names_others, is_first_start)
            case DepartureFound(departure):
                self._restore_departure(departure)
            case LeaveRequested():
                self._leave(now_s)
            case StopRequested():
                self._stopping = True

    def _leave(self, now_s: float) -> None:
        if self._left.is_set():
            return
        self._swim.leave(now_s)
        self._synchronizer.send(AnnouncementChanged(self._swim.own))
        self._left.set()
        log_event("member_left", instance=self._own.instance)

    def _announce_target(self, now_s: float) -> None:
        status = self._target.read()
        if self._left.is_set() or status == self._announced:
            return
        self._announced = status
        self._call_target_listeners(status)
        log_event(
            "target_announced",
            service=status.service,
            state=status.state,
            address=str(status.address),
        )
        self._swim.announce_target(status.service, status.state, now_s)

    def _publish(self) -> None:
        changes = self._swim.take_changes()
        if not changes:
            return
        self._view = self._swim.view
        if not self._joined and len(self._view.live) > 1:
            self._joined = True
            self._synchronizer.send(MemberFound())
        if self._swim.take_revivals():
            self._synchronizer.send(MembersRevived())
        for member in changes:
            self._notify_listeners(member)

    def _notify_listeners(self, member: Member) -> None:
        self.departures.handle_member(member)
        for listener in self._listeners:
            try:
                listener(member)
            except Exception as error:  # noqa: BLE001
                log_warning("member_listener_failed", error=repr(error))
                self._metrics.increment("membership_failures")
