"""Synchronise with peers and with the log in a thread that may block."""

import queue
import threading
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.membership.const import (
    DEPARTURE_RETRY_S,
    LOG_INTERVAL_S,
    LOG_JOIN_RETRY_S,
    LOG_RECHECK_S,
    LOG_RETRY_S,
    LOGGED_MEMBERS_MIN,
    RESTORED_APPENDS_PER_S,
    STOP_TIMEOUT_S,
    SYNC_PAGES_LIMIT,
    SYNC_TIMEOUT_S,
)
from corianderhold.coordination.membership.messages import (
    AnnouncementChanged,
    ContactsFound,
    DepartureFound,
    MemberFound,
    MembersRevived,
    MembersSynchronized,
    RecordsReceived,
    StopRequested,
    StoreRestored,
    TableMessage,
    TargetDeparted,
    WorkerMessage,
)
from corianderhold.coordination.membership.schedule import SyncSchedule
from corianderhold.coordination.membership.stream import MemberStream
from corianderhold.coordination.membership.sync import (
    choose_peer,
    compute_digests,
    list_newer,
    split_pages,
)
from corianderhold.ids import FIRST_ERA, StoreEra
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.codec import decode_reply, encode_request
from corianderhold.protocol.membership.model import (
    MalformedMessageError,
    SyncRecord,
    SyncReply,
    SyncRequest,
)
from corianderhold.protocol.peer.control import ControlClient, ControlTopic
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.membership.incarnation import (
    extract_start_number,
    supersede_incarnation,
)
from corianderhold.state.membership.model import Address, Member
from corianderhold.state.membership.table import MemberView
from corianderhold.state.membership.target import Departure

NEVER = float("inf")


class AppendListener(Protocol):
    """Learn whether a departure has been appended to the log."""

    def record_append(self, departure: Departure, *, succeeded: bool) -> None:
        """Record the outcome of an attempt to append a departure."""


class Synchronizer:
    """
    Periodically compare the table with a peer's and follow the log's stream.

    The peer is mostly one of the own failure domain, from which a joining daemon learns
    about the other domains. The table is read through `read_view` and changed only by
    messages that `post` passes to the thread that owns it.
    """

    def __init__(
        self,
        own: Member,
        read_view: Callable[[], MemberView],
        post: Callable[[TableMessage], None],
        log: AppendOnlyLog,
        control: ControlClient,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        append_listener: AppendListener,
    ) -> None:
        self._own = own
        self._read_view = read_view
        self._post = post
        self._control = control
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._stream = MemberStream(log)
        self._announcement: Member | None = own
        self._append_listener = append_listener
        self._departure: Departure | None = None
        self._logged_departure: Departure | None = None
        self._failed_appends = 0
        self._era = FIRST_ERA
        self._announced_era: StoreEra | None = None
        self._messages: queue.SimpleQueue[WorkerMessage] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="membership-sync", daemon=True
        )
        self._schedule = SyncSchedule(random)
        self._log_at_s = clock.read_monotonic()
        self._append_at_s = NEVER
        self._start = extract_start_number(own.incarnation)
        self.logged_members: tuple[Member, ...] = ()
        self._has_read_log = False
        self._is_recheck_due = False
        self._stopping = False

    def start(self) -> None:
        """Start the thread, which first reads the log."""
        self._thread.start()

    def send(self, message: WorkerMessage) -> None:
        """Send a message to the thread without waiting."""
        self._messages.put(message)

    def stop(self) -> None:
        """Stop after the current step, whose requests have timeouts."""
        self._messages.put(StopRequested())
        if self._thread.ident is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._run_once()
            except Exception as error:  # noqa: BLE001
                log_warning("membership_sync_failed", error=repr(error))
                now_s = self._clock.read_monotonic()
                self._schedule.record_outcome(succeeded=False, now_s=now_s)
                self._log_at_s = now_s + LOG_RETRY_S

    def _run_once(self) -> None:
        now_s = self._clock.read_monotonic()
        due_at_s = min(self._schedule.due_at_s, self._log_at_s, self._append_at_s)
        wait_s = max(0.0, due_at_s - now_s)
        try:
            self._handle(self._messages.get(timeout=wait_s))
            return
        except queue.Empty:
            pass
        now_s = self._clock.read_monotonic()
        if now_s >= self._schedule.due_at_s:
            self._synchronize()
        if now_s >= self._log_at_s:
            self._follow_log()
        if now_s >= self._append_at_s:
            self._append_announcement()

    def _handle(self, message: WorkerMessage) -> None:
        match message:
            case StopRequested():
                self._stopping = True
            case MemberFound():
                self._schedule.record_join(self._clock.read_monotonic())
            case MembersRevived():
                members = len(self._read_view().live)
                self._schedule.record_revival(self._clock.read_monotonic(), members)
            case TargetDeparted(departure):
                self._departure = departure
                self._failed_appends = 0
                self._announcement = self._find_own()
                self._append_announcement()
            case StoreRestored(era):
                self._era = max(self._era, era)
                self._announce_again()
            case AnnouncementChanged(member):
                self._own = member
                self._announcement = member
                self._append_announcement()

    def _announce_again(self) -> None:
        """Schedule an announcement if the last one may be lost in a restore."""
        if self._announced_era is None or self._announced_era >= self._era:
            return
        self._announcement = self._find_own()
        spread_s = max(1.0, len(self._read_view().live) / RESTORED_APPENDS_PER_S)
        now_s = self._clock.read_monotonic()
        self._append_at_s = now_s + spread_s * self._random.random()

    def _synchronize(self) -> None:
        peer = self._choose_peer()
        news = None if peer is None else self._exchange(peer.peer_address)
        now_s = self._clock.read_monotonic()
        self._schedule.record_outcome(news is not None, now_s, bool(news))

    def _choose_peer(self) -> Member | None:
        view = self._read_view()
        return choose_peer(view, self._own, self._random, self._schedule.is_joining)

    def _exchange(self, address: Address) -> int | None:
        """Return how many records either side lacked, or None after a failure."""
        digests = compute_digests(self._read_view())
        received: list[SyncRecord] = []
        buckets: tuple[int, ...] = ()
        for _ in range(SYNC_PAGES_LIMIT):
            after = received[-1].member.instance if received else ""
            reply = self._request(address, SyncRequest(digests, after))
            if reply is None:
                return None
            buckets = reply.buckets
            received.extend(reply.records)
            self._post(RecordsReceived(reply.records))
            if reply.last:
                self._post(MembersSynchronized())
                break
        now_s = self._clock.read_monotonic()
        newer = list_newer(self._read_view(), buckets, received, now_s)
        pushed = all(
            self._request(address, SyncRequest((), "", page)) is not None
            for page in split_pages(newer)
        )
        log_event(
            "members_synchronized",
            peer=str(address),
            received=len(received),
            pushed=len(newer),
        )
        return len(received) + len(newer) if pushed else None

    def _request(self, address: Address, request: SyncRequest) -> SyncReply | None:
        body = encode_request(request)
        result = self._control.request(
            address, ControlTopic.MEMBERSHIP, body, SYNC_TIMEOUT_S
        )
        self._metrics.increment("membership_sync_bytes_sent", len(body))
        if result.is_err():
            failure = result.unwrap_err()
            log_warning("member_sync_failed", peer=str(address), failure=failure)
            return None
        try:
            return decode_reply(result.unwrap())
        except MalformedMessageError as error:
            log_warning("member_sync_failed", peer=str(address), failure=str(error))
            return None

    def _follow_log(self) -> None:
        """
        Read the log and append what is due.

        Of daemons that start at the same time, all but the first to append find that
        one in the log. A daemon that still knows no member of its domain soon after its
        first read reads again.
        """
        if self._is_recheck_due and self._knows_neighbour():
            done = True
        else:
            done = self._read_and_append()
        self._is_recheck_due = done and not self._has_read_log
        self._has_read_log = self._has_read_log or done
        interval_s = self._find_log_interval_s(done) * self._random.uniform(0.8, 1.2)
        self._log_at_s = self._clock.read_monotonic() + interval_s

    def _read_and_append(self) -> bool:
        """Read and append; return whether the log was read and nothing is pending."""
        if not self._read_stream():
            return False
        self._renew_announcement()
        self._append_announcement()
        return self._announcement is None

    def _find_log_interval_s(self, done: bool) -> float:
        if self._is_recheck_due:
            return LOG_RECHECK_S
        if not self._has_read_log:
            return LOG_JOIN_RETRY_S
        settled = done and len(self._read_view().live) > 1
        return LOG_INTERVAL_S if settled else LOG_RETRY_S

    def _knows_neighbour(self) -> bool:
        """Return whether another live member of the own failure domain is known."""
        own = self._own
        return any(
            member.domain == own.domain and member.instance != own.instance
            for member in self._read_view().live
        )

    def _read_stream(self) -> bool:
        """Read the stream and post its contacts; return whether it could be read."""
        if self._stream.read().is_err():
            return False
        self._era = max(self._era, self._stream.era)
        if self._announced_era is not None and self._announced_era < self._era:
            self._announcement = self._announcement or self._find_own()
        logged = self._stream.find_incarnation(self._own.instance)
        is_other = logged is not None and extract_start_number(logged) != self._start
        if is_other and not self._has_read_log:
            self.logged_members = self._stream.list_members()
        outranking = logged if is_other else None
        if outranking is not None and self._announcement is not None:
            raised = supersede_incarnation(self._announcement.incarnation, outranking)
            self._announcement = replace(self._announcement, incarnation=raised)
        self._restore_departure()
        contacts = self._stream.list_contacts()
        names_others = self._stream.names_others(self._own.instance)
        is_first_start = self._stream.is_complete and not is_other
        self._post(ContactsFound(contacts, outranking, names_others, is_first_start))
        return True

    def _restore_departure(self) -> None:
        """Restore what an earlier start of this daemon logged about its target."""
        logged = self._stream.find_departure(self._own.instance)
        if self._departure is None and logged is not None:
            self._departure = self._logged_departure = logged
            self._post(DepartureFound(logged))

    def _find_own(self) -> Member:
        view = self._read_view()
        return view.by_instance.get(self._own.instance, self._own)

    def _renew_announcement(self) -> None:
        """Let a few daemons announce themselves again after most records expired."""
        view = self._read_view()
        if self._stream.contains(self._own.instance):
            return
        if self._stream.count_live(view) >= LOGGED_MEMBERS_MIN:
            return
        if self._random.random() * len(view.live) < LOGGED_MEMBERS_MIN:
            self._announcement = self._find_own()

    def _append_announcement(self) -> None:
        if self._announcement is None:
            return
        departure = self._departure
        result = self._stream.append(self._announcement, departure)
        if departure is not None:
            succeeded = result.is_ok()
            self._append_listener.record_append(departure, succeeded=succeeded)
        if result.is_err():
            failure = result.unwrap_err()
            log_warning("member_append_failed", failure=failure)
            now_s = self._clock.read_monotonic()
            self._append_at_s = now_s + self._find_append_retry_s()
            self._failed_appends += 1
        else:
            self._append_at_s = NEVER
            self._announcement = None
            self._announced_era = self._era
            self._logged_departure = departure
            self._failed_appends = 0

    def _find_append_retry_s(self) -> float:
        """Return when to try again; a departure that is not in the log is urgent."""
        if self._departure == self._logged_departure:
            return LOG_RETRY_S
        delay_s = DEPARTURE_RETRY_S * 2.0 ** min(self._failed_appends, 10)
        return min(LOG_RETRY_S, delay_s) * self._random.uniform(0.8, 1.2)
