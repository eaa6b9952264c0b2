"""Implement the SWIM protocol as a state machine without I/O."""

from dataclasses import dataclass
from random import Random

from corianderhold.coordination.membership.const import (
    CROSS_DOMAIN_GOSSIP_FANOUT,
    DEAD_PROBE_INTERVAL_S,
    FORGET_INTERVAL_S,
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_S,
    INDIRECT_PROBES,
    JOIN_FANOUT,
    JOIN_INTERVAL_S,
    PROBE_DEADLINE_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_MAX_S,
    PROBE_TIMEOUT_S,
    REFUTATIONS_LIMIT,
    URGENT_CROSS_DOMAIN_FANOUT,
    URGENT_FANOUT,
)
from corianderhold.coordination.membership.contacts import Contact, ContactBook
from corianderhold.coordination.membership.health import ActiveClock, LocalHealth
from corianderhold.coordination.membership.picker import ProbePicker
from corianderhold.coordination.membership.prober import (
    PendingRelays,
    Probe,
    ProbeHistory,
    draw_number,
)
from corianderhold.coordination.membership.recipients import RecipientChooser
from corianderhold.coordination.membership.roster import Roster
from corianderhold.coordination.membership.sender import (
    DatagramSender,
    OutgoingDatagram,
)
from corianderhold.ids import Incarnation, InstanceId, ServiceName
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.authentication import (
    DatagramAuthenticator,
    Rejection,
)
from corianderhold.protocol.membership.codec import (
    decode_claim,
    decode_datagram,
    decode_member,
)
from corianderhold.protocol.membership.model import (
    Datagram,
    DatagramKind,
    MalformedMessageError,
    SyncRecord,
)
from corianderhold.state.membership.model import (
    Address,
    Member,
    TargetState,
)
from corianderhold.state.membership.table import MemberView, is_refutable


@dataclass
class Schedule:
    """Next due time of each periodic task, in active seconds."""

    probe_at_s: float = 0.0
    gossip_at_s: float = 0.0
    contact_at_s: float = 0.0
    forget_at_s: float = 0.0


class Swim:
    """
    Detect failures and disseminate announcements; the caller does I/O and timing.

    After each call, `take_outgoing` and `take_changes` return its effects. Time
    arguments are monotonic seconds. Timers run on active time, so that a daemon that
    resumes after a pause hears from its peers before it suspects them.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[Address, ...],
        seal: DatagramAuthenticator,
        random: Random,
        metrics: Metrics,
        now_s: float,
    ) -> None:
        self._random = random
        self._seal = seal
        self._metrics = metrics
        self._health = LocalHealth()
        self._time = ActiveClock(now_s)
        self._probe_log = ProbeHistory()
        self._roster = Roster(own, self._health, self._time, self._probe_log, now_s)
        self._sender = DatagramSender(
            seal,
            self._roster.broadcasts,
            self._roster.find_limits,
            self._roster.is_near,
            metrics,
            now_s,
        )
        self._probes = ProbePicker(self._roster, self._probe_log, random)
        self._contacts = ContactBook(seeds, own.domain, random)
        self._relays = PendingRelays()
        self._probe: Probe | None = None
        self._recipients = RecipientChooser(self._roster, self._probe_log, random)
        self._schedule = Schedule()
        self._revivals_seen = 0

    @property
    def own(self) -> Member:
        """Return this daemon's own announcement."""
        return self._roster.own

    @property
    def view(self) -> MemberView:
        """Return the current view of all members."""
        return self._roster.view

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return a member as shown in the view, or None."""
        return self._roster.get_member(instance)

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Return the datagrams to be sent since the last call."""
        return self._sender.take_outgoing()

    def take_changes(self) -> list[Member]:
        """Return the members that changed since the last call, in order."""
        return self._roster.take_changes()

    def take_revivals(self) -> int:
        """Return how many dead members returned since the last call."""
        return self._roster.take_revivals()

    def replace_contacts(self, contacts: tuple[Contact, ...], now_s: float) -> None:
        """Replace the contacts read from the log and ping a few of them at once."""
        self._contacts.replace_logged(contacts)
        for address in self._contacts.sample_logged(
            JOIN_FANOUT, self.view, self.own.gossip_address
        ):
            self._ping(address, None, (self.own,), now_s)

    def merge_records(self, records: tuple[SyncRecord, ...], now_s: float) -> None:
        """Apply the records of a synchronisation."""
        refutations = self._roster.refutations
        for record in records:
            self._roster.apply_synced(record.member, now_s, float(record.dead_for_s))
        self._gossip_refutations(refutations, now_s)

    def supersede_incarnation(self, incarnation: Incarnation, now_s: float) -> None:
        """Announce this start with a higher incarnation than an earlier start's."""
        refutations = self._roster.refutations
        self._roster.supersede_incarnation(incarnation, now_s)
        self._gossip_refutations(refutations, now_s)

    def announce_target(
        self, service: ServiceName | None, state: TargetState, now_s: float
    ) -> None:
        """Announce a change of the local target and gossip it at once."""
        self._roster.announce(service, state, now_s)
        self._send_urgent_gossip(now_s)

    def leave(self, now_s: float) -> None:
        """Announce that this daemon leaves and gossip it at once."""
        self._roster.leave(now_s)
        self._send_urgent_gossip(now_s)

    def resume(self, now_s: float) -> None:
        """Skip the time until `now_s` without counting it as a pause."""
        self._time.skip_to(now_s)

    def receive(self, data: bytes, source: Address, now_s: float) -> None:
        """Handle a datagram; those not from a peer are dropped and counted."""
        self._advance(now_s)
        payload = self._seal.verify(data)
        if payload.is_err():
            self._reject(payload.unwrap_err())
            return
        try:
            datagram = decode_datagram(payload.unwrap())
            updates = [decode_member(update) for update in datagram.updates]
            claims = [decode_claim(claim) for claim in datagram.claims]
        except MalformedMessageError:
            self._reject(Rejection.MALFORMED)
            return
        if datagram.sender == self.own.instance:
            return
        self._metrics.increment("membership_datagrams_received")
        self._probe_log.record_heard(datagram.sender, self._time.seconds)
        refutations = self._roster.refutations
        resolved = [self._roster.resolve(claim) for claim in claims]
        updates += [member for member in resolved if member is not None]
        for member in updates:
            self._roster.apply(member, now_s)
        self._dispatch(datagram, source, now_s)
        self._send_corrections(datagram.sender, updates, source, now_s)
        self._gossip_refutations(refutations, now_s)

    def tick(self, now_s: float) -> None:
        """Run all tasks that are due."""
        self._advance(now_s)
        active_s = self._time.seconds
        self._roster.expire(now_s)
        self._check_probe(now_s)
        if active_s >= self._schedule.probe_at_s:
            self._schedule.probe_at_s = active_s + PROBE_INTERVAL_S
            self._start_probe(now_s)
        if active_s >= self._schedule.contact_at_s:
            alone = self._roster.count_live() <= 1
            interval_s = JOIN_INTERVAL_S if alone else DEAD_PROBE_INTERVAL_S
            jitter = self._random.uniform(0.8, 1.2)
            self._schedule.contact_at_s = active_s + interval_s * jitter
            self._ping_contact(now_s)
        self._ping_revived(now_s)
        if active_s >= self._schedule.gossip_at_s:
            self._schedule.gossip_at_s = active_s + GOSSIP_INTERVAL_S
            self._send_gossip(GOSSIP_FANOUT, CROSS_DOMAIN_GOSSIP_FANOUT, now_s)
        if active_s >= self._schedule.forget_at_s:
            self._schedule.forget_at_s = active_s + FORGET_INTERVAL_S
            self._roster.evict_expired(now_s)

    def _advance(self, now_s: float) -> None:
        pause_s = self._time.advance(now_s)
        if pause_s:
            log_event("pause_detected", seconds=pause_s)
            self._health.worsen()
            self._probe = None  # its ack may have been lost during the pause

    def _send_corrections(
        self,
        sender: InstanceId,
        updates: list[Member],
        source: Address,
        now_s: float,
    ) -> None:
        """Send announcements that refute a sender's claims or outrank its start."""
        corrections = self._roster.list_refutations(updates)
        for update in updates:
            if update.instance == sender:
                outranking = self._roster.find_superseding(update)
                corrections += (outranking,) if outranking else ()
        if corrections:
            gossip = Datagram(DatagramKind.GOSSIP, 0, self.own.instance)
            self._sender.send(source, gossip, now_s, corrections[-REFUTATIONS_LIMIT:])

    def _gossip_refutations(self, refutations_before: int, now_s: float) -> None:
        if self._roster.refutations > refutations_before:
            self._send_urgent_gossip(now_s)

    def _reject(self, rejection: Rejection) -> None:
        self._metrics.increment(f"membership_rejected_{rejection.value}")

    def _dispatch(self, datagram: Datagram, source: Address, now_s: float) -> None:
        if datagram.kind is DatagramKind.ACK:
            self._handle_ack(datagram, now_s)
        elif datagram.kind is DatagramKind.PING:
            self._answer_ping(datagram, source, now_s)
        elif datagram.kind is DatagramKind.PING_REQUEST:
            self._relay_ping(datagram, source, now_s)

    def _answer_ping(self, datagram: Datagram, source: Address, now_s: float) -> None:
        if datagram.subject not in (None, self.own.instance):
            self._metrics.increment("membership_pings_misdirected")
            return
        members = self._list_claims(datagram.sender)
        if datagram.subject is None:
            members = (self.own, *members)
        ack = Datagram(DatagramKind.ACK, datagram.number, self.own.instance)
        self._sender.send(source, ack, now_s, members)
        if self._roster.get_member(datagram.sender) is None:
            self._ping(source, None, (self.own,), now_s)

    def _handle_ack(self, datagram: Datagram, now_s: float) -> None:
        if self._probe is not None and datagram.number == self._probe.number:
            self._probe = None
            self._probe_log.record_outcome(True, self._time.seconds)
            self._health.improve()
            return
        relay = self._relays.take(datagram.number)
        if relay is not None:
            ack = Datagram(DatagramKind.ACK, relay.number, self.own.instance)
            self._sender.send(relay.requester, ack, now_s)

    def _relay_ping(self, datagram: Datagram, source: Address, now_s: float) -> None:
        if datagram.subject is None or datagram.subject_address is None:
            return
        if self._relays.is_full(self._time.seconds):
            return
        claims = self._list_claims(datagram.subject)
        number = self._ping(datagram.subject_address, datagram.subject, claims, now_s)
        if number is not None:
            self._relays.add(number, source, datagram.number, self._time.seconds)

    def _start_probe(self, now_s: float) -> None:
        member = self._probes.pick()
        if member is None:
            return
        active_s = self._time.seconds
        timeout_s = PROBE_TIMEOUT_S * self._health.multiplier
        claims = self._list_claims(member.instance)
        number = self._ping(member.gossip_address, member.instance, claims, now_s)
        if number is None:
            return
        self._probe = Probe(
            number,
            member.instance,
            active_s,
            active_s + min(timeout_s, PROBE_TIMEOUT_MAX_S),
            active_s + PROBE_DEADLINE_S,
        )

    def _check_probe(self, now_s: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if self._time.seconds >= probe.fails_at_s:
            self._probe = None
            self._probe_log.record_outcome(False, self._time.seconds)
            if self._probe_log.has_heard_since(probe.sent_at_s):
                self._health.improve()
            else:
                self._health.worsen()
            self._roster.suspect(probe.instance, now_s)
            self._probes.record_unanswered(probe.instance)
        elif self._time.seconds >= probe.indirect_at_s and not probe.indirect_sent:
            probe.indirect_sent = True
            self._request_pings(probe, now_s)

    def _request_pings(self, probe: Probe, now_s: float) -> None:
        subject = self._roster.get_member(probe.instance)
        if subject is None:
            return
        request = Datagram(
            DatagramKind.PING_REQUEST,
            probe.number,
            self.own.instance,
            subject.instance,
            subject.gossip_address,
        )
        for member in self._recipients.choose_relays(INDIRECT_PROBES, subject):
            self._sender.send(member.gossip_address, request, now_s)

    def _ping(
        self,
        address: Address,
        subject: InstanceId | None,
        members: tuple[Member, ...],
        now_s: float,
    ) -> int | None:
        number = draw_number(self._random)
        ping = Datagram(DatagramKind.PING, number, self.own.instance, subject)
        return number if self._sender.send(address, ping, now_s, members) else None

    def _ping_revived(self, now_s: float) -> None:
        """Ping some dead members soon after one of them has returned."""
        own = self.own.gossip_address
        if self._roster.revivals > self._revivals_seen:
            self._revivals_seen = self._roster.revivals
            if not self._contacts.list_revival_pings(self.view, own):
                self._contacts.draw_revival_pings(self.view)
        for address in self._contacts.list_revival_pings(self.view, own):
            if self._introduce(address, now_s):
                self._contacts.drop_revival_ping(address)

    def _ping_contact(self, now_s: float) -> None:
        address = self._contacts.pick(self.view, self.own.gossip_address)
        if address is not None:
            self._introduce(address, now_s)

    def _introduce(self, address: Address, now_s: float) -> bool:
        """
        Ping an address with this daemon's announcement; return False over budget.

        A member that is considered lost is told so, and can refute it.
        """
        lost = tuple(
            member
            for member in self.view.members
            if member.gossip_address == address and is_refutable(member)
        )
        sent = self._ping(address, None, (self.own, *lost[-1:]), now_s)
        return sent is not None

    def _list_claims(self, instance: InstanceId) -> tuple[Member, ...]:
        """Return the claim about a member that it must receive to refute it."""
        member = self._roster.get_member(instance)
        return (member,) if member is not None and is_refutable(member) else ()

    def _send_gossip(
        self, near: int, far: int, now_s: float, urgent: bool = False
    ) -> None:
        """Send updates to `near` members of the own domain and `far` of others."""
        broadcasts, limits = self._roster.broadcasts, self._roster.find_limits()
        recipients: list[Member] = []
        if broadcasts.has_pending(limits, is_near=False):
            recipients += self._recipients.choose_far(far)
        if broadcasts.has_pending(limits, is_near=True):
            recipients += self._recipients.choose_for_gossip(near)
        gossip = Datagram(DatagramKind.GOSSIP, 0, self.own.instance)
        for member in recipients:
            self._sender.send(member.gossip_address, gossip, now_s, urgent=urgent)

    def _send_urgent_gossip(self, now_s: float) -> None:
        self._send_gossip(URGENT_FANOUT, URGENT_CROSS_DOMAIN_FANOUT, now_s, urgent=True)
