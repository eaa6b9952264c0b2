"""Keep the active configuration up to date from the log and from peers."""

import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue
from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.backoff import PollBackoff
from corianderhold.coordination.configuration.const import (
    ANTI_ENTROPY_ANY_MEMBER_SHARE,
    ANTI_ENTROPY_CROSS_DOMAIN_SHARE,
    ANTI_ENTROPY_INTERVAL_S,
    ANTI_ENTROPY_JITTER,
    ANTI_ENTROPY_PARENT_SHARE,
    FALLBACK_POLL_AFTER_S,
    FALLBACK_POLL_BACKOFF_LIMIT_S,
    FIRST_EXCHANGE_INTERVAL_S,
    HELD_POLL_MIN_S,
    JOIN_POLL_DELAY_S,
    NO_PEER_TIMEOUT_S,
    POLL_INTERVAL_S,
    POLL_JOIN_TIMEOUT_S,
    POLL_WAIT_MAX_S,
    POLL_WAIT_MIN_S,
    POLL_WAIT_SHARE,
    PUBLISH_RETRY_PAUSE_S,
    PUSH_DELAY_S,
    PUSH_THREADS,
    RESTORED_SETTLE_S,
    STARTUP_VIEW_AGE_LIMIT_S,
)
from corianderhold.coordination.configuration.exchanger import Exchanger, PeerHead
from corianderhold.coordination.configuration.peers import PeerSelector
from corianderhold.coordination.configuration.reader import LogReader, ReadOutcome
from corianderhold.coordination.configuration.replica import Replica
from corianderhold.coordination.configuration.snapshots import SnapshotWriter
from corianderhold.ids import FIRST_ERA, FailureDomainId, InstanceId, StoreEra
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.messages import Head
from corianderhold.protocol.peer.control import ControlClient, ControlSender
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import IsolatedBehaviour
from corianderhold.state.membership.model import Member, MemberDirectory

STOP = None
JOIN_TIMEOUT_S = 5.0


class ConfigurationFollower:
    """
    Follow the configuration stream and handle control topic CONFIGURATION.

    A few daemons of each domain, or all daemons of a small fleet, long-poll the log.
    Every daemon compares heads with a peer once a second (anti-entropy) and pushes new
    records to a few neighbours at once. `retention_s` is how long the log keeps a
    record, in seconds.
    """

    def __init__(
        self,
        instance: InstanceId,
        domain: FailureDomainId,
        retention_s: float,
        log: AppendOnlyLog,
        client: ControlClient,
        members: MemberDirectory,
        holder: ConfigurationHolder,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self.replica = Replica(holder, metrics)
        self._holder = holder
        self._members = members
        self._clock = clock
        self._random = random
        self._peers = PeerSelector(instance, domain, members, clock, random)
        self.snapshot_writer = SnapshotWriter(
            self.replica, self._peers, log, holder, clock, retention_s
        )
        self.exchanger = Exchanger(
            self.replica,
            self.snapshot_writer,
            holder,
            client,
            clock,
            metrics,
            self._queue_pull,
        )
        self._reader = LogReader(
            self.replica, self.snapshot_writer, log, holder, clock, metrics
        )
        self._reader_lock = threading.Lock()
        self._era_seen_at = clock.read_monotonic()
        self.replica.add_era_listener(self._record_era)
        self._backoff = PollBackoff(clock, random)
        self._defers_first_poll = True
        self._is_start_check_pending = True
        self._started_at = clock.read_monotonic()
        self._fallback_wait_s = self._draw_fallback_wait_s(NO_PEER_TIMEOUT_S)
        self._fallback_polled_at = clock.read_monotonic()
        self._peer_answered_at = clock.read_monotonic()
        self._pushes: SimpleQueue[Member | None] = SimpleQueue()
        self._queued_lock = threading.Lock()
        self._queued: set[InstanceId] = set()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._poll_thread = threading.Thread(
            target=lambda: self._repeat(self.poll_once),
            name="configuration-poll",
            daemon=True,
        )
        self.replica.add_update_listener(self._queue_pushes)

    def start(self) -> None:
        """Start the threads that read the log, exchange with peers and push."""
        self._poll_thread.start()
        self._spawn("spread", lambda: self._repeat(self.exchange_once))
        for _ in range(PUSH_THREADS):
            self._spawn("push", self._push_until_stopped)

    def stop(self) -> None:
        """Stop all threads and wait for exchanges in progress."""
        self._stopped.set()
        for _ in range(PUSH_THREADS):
            self._pushes.put(STOP)
        self._poll_thread.join(POLL_JOIN_TIMEOUT_S)
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Respond to a peer's exchange; raise ExchangeError if it is malformed."""
        return self.exchanger.handle_control(sender, body)

    def read_head(self) -> Head:
        """Return how far this daemon has applied the stream."""
        return self.replica.head

    def list_peer_heads(self) -> tuple[PeerHead, ...]:
        """Return the last heads received from peers, the newest last."""
        return self.exchanger.list_peer_heads()

    def read_log(self) -> ReadOutcome:
        """Apply the records in the log now; thread-safe."""
        with self._reader_lock:
            return self._reader.catch_up()

    def await_repaired_log(
        self, deadline: float, sleep: Callable[[float], None]
    ) -> bool:
        """
        Wait until the log has what it lost in a restore; return False at the deadline.

        A record that is appended earlier may build on an outdated version.
        """
        while not self._is_log_repaired():
            if self._clock.read_monotonic() >= deadline:
                return False
            self.snapshot_writer.append_if_due()
            sleep(PUBLISH_RETRY_PAUSE_S)
            self.read_log()
        return True

    def _is_log_repaired(self) -> bool:
        if self.replica.head.era == FIRST_ERA:
            return True
        seen_s = self._clock.read_monotonic() - self._era_seen_at
        return seen_s >= RESTORED_SETTLE_S and not self.replica.is_ahead_of_log

    def _record_era(self, era: StoreEra) -> None:
        self._era_seen_at = self._clock.read_monotonic()

    def poll_once(self) -> float:
        """Read the log if this daemon should; return the seconds to wait."""
        began_at = self._clock.read_monotonic()
        before = self.replica.state.version
        outcome, is_first = None, False
        if not before and self._defers_first_poll:
            self._defers_first_poll = False
            return self._draw_join_delay_s()
        if self._peers.is_poller():
            wait_s = self._find_backoff_wait_s()
            if wait_s > 0:
                return wait_s
            is_first = not self._backoff.may_hold
            outcome = self._long_poll()
            self._record_poll(outcome)
        elif self._needs_fallback_poll() or self._take_start_check():
            self._poll_as_fallback()
        self.snapshot_writer.append_if_due()
        held = self._clock.read_monotonic() - began_at >= HELD_POLL_MIN_S
        if outcome is ReadOutcome.COMPLETE and (
            held or is_first or self.replica.state.version > before
        ):
            return 0.0
        if outcome is not None and self._backoff.failures:
            return self._find_backoff_wait_s()
        return POLL_INTERVAL_S * (1 + ANTI_ENTROPY_JITTER * self._random.random())

    def exchange_once(self) -> float:
        """Exchange with one peer; return the seconds to wait."""
        peer = self._pick_peer()
        if peer is not None:
            self._exchange(peer)
        if self.replica.state.next_offset == 0:
            return FIRST_EXCHANGE_INTERVAL_S
        jitter = 1 + ANTI_ENTROPY_JITTER * (self._random.random() - 0.5)
        return ANTI_ENTROPY_INTERVAL_S * jitter

    def compute_push_delay_s(self) -> float:
        """
        Return the delay of pushes in seconds.

        If every daemon reads the log, most have read the record by then and a second
        copy need not be sent.
        """
        return PUSH_DELAY_S if self._peers.all_members_poll() else 0.0

    def push_queued(self) -> bool:
        """Push to one queued neighbour; return False if none is queued."""
        try:
            member = self._pushes.get_nowait()
        except Empty:
            return False
        if member is not STOP:
            self._push(member)
        return True

    def _pick_peer(self) -> Member | None:
        drawn = self._random.random()
        if drawn < ANTI_ENTROPY_ANY_MEMBER_SHARE:
            return self._peers.pick_any()
        if (
            self._prefers_other_domains()
            and self._random.random() < ANTI_ENTROPY_CROSS_DOMAIN_SHARE
        ):
            return self._peers.pick_cross_domain() or self._peers.pick_any()
        if drawn < ANTI_ENTROPY_ANY_MEMBER_SHARE + ANTI_ENTROPY_PARENT_SHARE:
            parent = self._peers.pick_parent()
            if parent is not None:
                return parent
        return self._peers.pick_same_domain() or self._peers.pick_any()

    def _prefers_other_domains(self) -> bool:
        """Return whether the own domain may lack updates that others have."""
        now = self._clock.read_monotonic()
        if self.replica.state.next_offset == 0:
            return now - self._started_at >= JOIN_POLL_DELAY_S
        if self._backoff.failures:
            return True
        return now - self._holder.verified_at > FALLBACK_POLL_AFTER_S

    def _long_poll(self) -> ReadOutcome:
        """Long-poll the log; other threads may read it in the meantime."""
        wait_s = self._draw_poll_wait_s() if self._backoff.may_hold else 0.0
        asked = self._reader.poll_page(wait_s)
        if asked is None:
            return ReadOutcome.UNAVAILABLE
        with self._reader_lock:
            return self._reader.catch_up(asked)

    def _draw_poll_wait_s(self) -> float:
        """
        Draw the maximum time that the log may hold a read, in seconds.

        Random waits spread the discovery of an unresponsive connection over the
        daemons. The wait is shorter if a route refuses requests on an outdated view.
        """
        longest_s = min(
            [POLL_WAIT_MAX_S]
            + [
                route.isolated_after_s * POLL_WAIT_SHARE
                for route in self._holder.current.routes
                if route.isolated is IsolatedBehaviour.REFUSE
            ]
        )
        return self._random.uniform(min(POLL_WAIT_MIN_S, longest_s), longest_s)

    def _record_poll(self, outcome: ReadOutcome) -> None:
        if outcome in (ReadOutcome.COMPLETE, ReadOutcome.PARTIAL):
            self._backoff.record_success()
            return
        log_warning("configuration_poll_failed", outcome=outcome)
        self._backoff.record_failure(self._peers.is_domain_poller())

    def _find_backoff_wait_s(self) -> float:
        """Return the seconds until the next poll, or until to check again."""
        wait_s = self._backoff.find_wait_s(self._holder.verified_at)
        return min(wait_s, POLL_INTERVAL_S)

    def _needs_fallback_poll(self) -> bool:
        """
        Return whether to read the log although other daemons do so regularly.

        No peer has responded lately, or the view has not been verified for long.
        """
        now = self._clock.read_monotonic()
        if now - self._fallback_polled_at < self._fallback_wait_s:
            return False
        is_isolated = now - self._peer_answered_at > NO_PEER_TIMEOUT_S
        return is_isolated or now - self._holder.verified_at > FALLBACK_POLL_AFTER_S

    def _take_start_check(self) -> bool:
        """
        Return, once, whether the first configuration after a start may be outdated.

        The peer that sent it may be partitioned, and the configuration older than the
        one that was active here before the restart.
        """
        is_pending, self._is_start_check_pending = self._is_start_check_pending, False
        age_s = self._clock.read_monotonic() - self._holder.verified_at
        return is_pending and age_s > STARTUP_VIEW_AGE_LIMIT_S

    def _poll_as_fallback(self) -> None:
        """Read the log; back off with jitter while it cannot be read."""
        outcome = self.read_log()
        log_event("configuration_self_poll", outcome=outcome)
        self._fallback_polled_at = self._clock.read_monotonic()
        wait_s = NO_PEER_TIMEOUT_S
        if outcome is not ReadOutcome.COMPLETE:
            wait_s = min(FALLBACK_POLL_BACKOFF_LIMIT_S, 2 * self._fallback_wait_s)
        self._fallback_wait_s = self._draw_fallback_wait_s(wait_s)

    def _draw_fallback_wait_s(self, wait_s: float) -> float:
        return wait_s * (1 + self._random.random())

    def _draw_join_delay_s(self) -> float:
        """Draw the delay of the first poll after a start, in seconds."""
        return JOIN_POLL_DELAY_S * (0.5 + self._random.random() / 2)

    def _queue_pushes(self) -> None:
        """Queue a push to some neighbours, unless one is queued already."""
        for member in self._peers.pick_push_targets():
            self._queue(member)

    def _queue_pull(self, instance: InstanceId) -> None:
        """Queue an exchange with a peer that is ahead, unless the log will catch up."""
        if self._peers.all_members_poll() and not self._backoff.failures:
            return
        member = self._members.find_member(instance)
        if member is not None:
            self._queue(member)

    def _queue(self, member: Member) -> None:
        with self._queued_lock:
            waiting = member.instance in self._queued
            self._queued.add(member.instance)
        if not waiting:
            self._pushes.put(member)

    def _push(self, member: Member) -> None:
        with self._queued_lock:
            self._queued.discard(member.instance)
        self._exchange(member, push=not self._peers.all_members_poll())

    def _exchange(self, member: Member, push: bool = False) -> None:
        """Exchange with a peer and record when it responded."""
        if self.exchanger.exchange(member, push):
            self._peer_answered_at = self._clock.read_monotonic()

    def _repeat(self, step: Callable[[], float]) -> None:
        wait_s = 0.0
        while not self._stopped.wait(wait_s):
            try:
                wait_s = step()
            except Exception as error:  # noqa: BLE001
                # A failed step must not end the thread.
                log_warning("configuration_step_failed", error=repr(error))
                wait_s = POLL_INTERVAL_S

    def _push_until_stopped(self) -> None:
        while True:
            member = self._pushes.get()
            if member is not STOP:
                self._stopped.wait(self.compute_push_delay_s())
            if member is STOP or self._stopped.is_set():
                return
            try:
                self._push(member)
            except Exception as error:  # noqa: BLE001
                log_warning("configuration_push_failed", error=repr(error))

    def _spawn(self, name: str, target: Callable[[], None]) -> None:
        thread = threading.Thread(
            target=target, name=f"configuration-{name}", daemon=True
        )
        self._threads.append(thread)
        thread.start()
