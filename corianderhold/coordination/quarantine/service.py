"""Share among the owners of a service what crashed their targets."""

import queue
import threading
from collections.abc import Callable
from dataclasses import replace
from random import Random

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    LOG_INTERVAL_S,
    NOTICE_THREADS,
    NOTICE_TIMEOUT_S,
    START_SYNC_PEERS,
    SYNC_INTERVAL_S,
    UNREACHABLE_MEMORY_S,
)
from corianderhold.coordination.quarantine.peers import PeerFailures
from corianderhold.coordination.quarantine.stream import QuarantineStream
from corianderhold.ids import Fingerprint, InstanceId, ServiceName
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.quarantine.codec import decode_notice, encode_notice
from corianderhold.protocol.quarantine.model import Notice, NoticeError
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.membership.model import (
    Member,
    MemberDirectory,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import TargetStatus
from corianderhold.state.quarantine.const import QUARANTINE_S
from corianderhold.state.quarantine.model import (
    Clearance,
    CrashReport,
    Quarantine,
    rank_testers,
)
from corianderhold.state.quarantine.table import QuarantineTable

STOP_TIMEOUT_S = 0.2
RELEASED_BEFORE_S = QUARANTINE_S - 1.0  # a quarantine that was shorter was released


class QuarantineService:
    """
    Send crashes to the other owners of a service at once, and compare with them later.

    Only owners need to know: no call reaches a target but through its owner. While
    anything is known, each owner compares with a random one every SYNC_INTERVAL_S, and
    with a few when its target starts.
    """

    def __init__(
        self,
        instance: InstanceId,
        table: QuarantineTable,
        members: MemberDirectory,
        client: ControlClient,
        log: AppendOnlyLog,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._stream = QuarantineStream(log, clock)
        self._must_read_log = False
        self._read_log_at = float("-inf")
        self._sync_at = float("-inf")
        self._dead_since: dict[InstanceId, float] = {}
        self._cleared: dict[ServiceName, list[Clearance]] = {}
        self._cleared_lock = threading.Lock()
        self._work_due = threading.Event()
        self._instance = instance
        self._table = table
        self._members = members
        self._client = client
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._service: ServiceName | None = None
        self._services: dict[InstanceId, ServiceName] = {}
        self._failures = PeerFailures(clock)
        self._has_started = False
        self._was_compared = False
        self._target: TargetStatus | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="quarantine", daemon=True
        )

    def start(self) -> None:
        """Start to compare with other owners."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; requests in progress have time-outs."""
        self._stopped.set()
        self._work_due.set()
        if self._thread.ident is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def handle_member(self, member: Member) -> None:
        """Remember the service of a member, which its crashed target loses."""
        if member.state is MemberState.LEFT:
            self._services.pop(member.instance, None)
            self._failures.forget(member.instance)
        elif member.service is not None:
            self._services[member.instance] = member.service
        if member.state is MemberState.DEAD and self._is_owner(member):
            now = self._clock.read_monotonic()
            self._dead_since.setdefault(member.instance, now)
        else:
            self._dead_since.pop(member.instance, None)

    def handle_target(self, status: TargetStatus) -> None:
        """Compare with other owners once a start of the local target serves."""
        before, self._target = self._target, status
        if status.service is not None:
            self._service = status.service
        serves = status.state is TargetState.SERVING
        if serves and (before is None or before.state is not TargetState.SERVING):
            self._has_started = True
            self._work_due.set()

    def report_crash(self, report: CrashReport) -> None:
        """Add a crash to the table and send it to the other owners."""
        quarantines = self._table.record_crash(report)
        self._log_quarantines(quarantines)
        for quarantine in quarantines:
            self._stream.add(quarantine)
            self._work_due.set()
        digest = self._table.read_view().digest
        notice = Notice(digest, reports=(report,), quarantines=quarantines)
        self._send_to_owners(report.service, notice)

    def clear(self, fingerprint: Fingerprint, service: ServiceName) -> None:
        """Clear a call; the other owners are told soon, of several calls at once."""
        clearance = self._table.clear(fingerprint)
        if clearance is None:
            return
        log_event("suspect_cleared", fingerprint=fingerprint.hex(), service=service)
        with self._cleared_lock:
            self._cleared.setdefault(service, []).append(clearance)
        self._work_due.set()

    def list_quarantines(self) -> tuple[Quarantine, ...]:
        """Return the calls in quarantine, the newest last."""
        now = self._clock.read_monotonic()
        quarantines = self._table.read_view().quarantines
        current = [each for each in quarantines if now < each.until]
        return tuple(sorted(current, key=lambda each: each.since))

    def release(self, fingerprint: Fingerprint) -> bool:
        """End a quarantine; return False if this daemon knows of none."""
        for each in self.list_quarantines():
            if each.fingerprint == fingerprint:
                self.clear(fingerprint, each.service)
                now = self._clock.read_monotonic()
                self._stream.add(replace(each, until=now))
                self._work_due.set()
                return True
        return False

    def is_tester(self, fingerprint: Fingerprint, service: ServiceName) -> bool:
        """Return whether this owner runs the trials of a call."""
        instances = {each.instance for each in self._members.list_owners(service)}
        instances.add(self._instance)
        return rank_testers(fingerprint, instances)[0] == self._instance

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """
        Merge a peer's notice; raise NoticeError if it is malformed.

        The reply to a notice that only asks has all that is known, unless the peer
        knows the same.
        """
        now = self._clock.read_monotonic()
        notice = decode_notice(body, now)
        self._merge(notice)
        mine = self._build_notice()
        if not notice.is_empty or mine.digest == notice.digest:
            mine = Notice(mine.digest)
        return encode_notice(mine, now)

    def synchronize(self, member: Member) -> bool:
        """Compare with a peer and return whether it replied."""
        view = self._table.read_view()
        reply = self._request(member, Notice(view.digest))
        if reply is None:
            return False
        self._merge(reply)
        mine = self._build_notice()
        if mine.digest != reply.digest:
            return self._request(member, mine) is not None
        return True

    def synchronize_if_due(self) -> None:
        """Compare with one random peer from time to time, while anything is known."""
        now = self._clock.read_monotonic()
        if self._service is None or not self._table.is_active or now < self._sync_at:
            return
        self._sync_at = now + SYNC_INTERVAL_S * (0.5 + self._random.random())
        peers = [
            each
            for each in self._list_peers(self._service)
            if not self._failures.is_paused(each.instance)
        ]
        if peers:
            self.synchronize(self._random.choice(peers))

    def use_log(self) -> None:
        """
        Append new quarantines, and read those of others if this daemon may lack them.

        It may after a start, and while owners of its service can't be reached.
        """
        self._stream.append_pending()
        now = self._clock.read_monotonic()
        is_due = self._is_cut_off(now) and now - self._read_log_at >= LOG_INTERVAL_S
        if not self._must_read_log and not is_due:
            return
        self._read_log_at = now
        quarantines = self._stream.read()
        self._must_read_log = quarantines is None
        if quarantines:
            released = [
                Clearance(each.fingerprint, each.until)
                for each in quarantines
                if each.until - each.since < RELEASED_BEFORE_S
            ]
            self._log_quarantines(self._table.merge((), released, quarantines))

    def send_clearances(self) -> None:
        """Tell the other owners which calls have been cleared since the last time."""
        with self._cleared_lock:
            cleared, self._cleared = self._cleared, {}
        digest = self._table.read_view().digest
        for service, clearances in cleared.items():
            notice = Notice(digest, clearances=tuple(clearances))
            self._send_to_owners(service, notice)

    def _is_cut_off(self, now: float) -> bool:
        """Return whether an owner of the service can't be reached for a short time."""
        return any(
            now - since < UNREACHABLE_MEMORY_S
            for since in list(self._dead_since.values())
        )

    def _is_owner(self, member: Member) -> bool:
        """Return whether a member owns a target of the own service."""
        services = (member.service, self._services.get(member.instance))
        return self._service is not None and self._service in services

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._work_due.wait(SYNC_INTERVAL_S / 2)
            self._work_due.clear()
            if self._stopped.is_set():
                return
            try:
                self.send_clearances()
                self._synchronize_target()
                self.use_log()
                self.synchronize_if_due()
            except Exception as error:  # noqa: BLE001
                # A failed step must not end the thread.
                log_warning("quarantine_step_failed", error=repr(error))

    def _synchronize_target(self) -> None:
        """Compare with a few owners once the target of this one has started."""
        if self._service is None or not self._has_started:
            return
        if not self._was_compared:
            self._must_read_log = True
        self._has_started, self._was_compared = False, True
        peers = self._list_peers(self._service)
        chosen = self._random.sample(peers, min(START_SYNC_PEERS, len(peers)))
        self._run_for_each(chosen, self.synchronize)

    def _list_peers(self, service: ServiceName) -> list[Member]:
        """Return the members that own a target of a service, also a crashed one."""
        return [
            member
            for member in self._members.list_members()
            if member.instance != self._instance
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and service in (member.service, self._services.get(member.instance))
        ]

    def _send_to_owners(self, service: ServiceName, notice: Notice) -> None:
        self._run_for_each(
            self._list_peers(service), lambda member: self._request(member, notice)
        )

    def _run_for_each(
        self, members: list[Member], step: Callable[[Member], object]
    ) -> None:
        """Run a step for each member, in threads that end with it."""
        waiting: queue.SimpleQueue[Member] = queue.SimpleQueue()
        for member in members:
            waiting.put(member)

        def work() -> None:
            while not self._stopped.is_set():
                try:
                    step(waiting.get_nowait())
                except queue.Empty:
                    return
                except Exception as error:  # noqa: BLE001
                    log_warning("quarantine_step_failed", error=repr(error))

        for _ in range(min(NOTICE_THREADS, len(members))):
            threading.Thread(target=work, name="quarantine-send", daemon=True).start()

    def _build_notice(self) -> Notice:
        view = self._table.read_view()
        return Notice(view.digest, view.reports, view.clearances, view.quarantines)

    def _request(self, member: Member, notice: Notice) -> Notice | None:
        body = encode_notice(notice, self._clock.read_monotonic())
        answer = self._client.request(
            member.peer_address, ControlTopic.QUARANTINE, body, NOTICE_TIMEOUT_S
        )
        self._metrics.increment("quarantine_bytes_sent", len(body))
        self._failures.record(member.instance, replied=answer.is_ok())
        if isinstance(answer, Err):
            self._metrics.increment(f"quarantine_notice_{answer.err_value.value}")
            return None
        try:
            return decode_notice(answer.ok_value, self._clock.read_monotonic())
        except NoticeError as error:
            log_warning("notice_malformed", peer=member.instance, error=str(error))
            return None

    def _merge(self, notice: Notice) -> None:
        quarantines = self._table.merge(
            notice.reports, notice.clearances, notice.quarantines
        )
        self._log_quarantines(quarantines)

    def _log_quarantines(self, quarantines: tuple[Quarantine, ...]) -> None:
        now = self._clock.read_monotonic()
        for each in quarantines:
            self._metrics.increment("quarantines_begun")
            log_warning(
                "call_quarantined",
                fingerprint=each.fingerprint.hex(),
                service=each.service,
                left_s=each.until - now,
                count=each.count,
            )
