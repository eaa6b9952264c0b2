"""Track the state of the local target from its heartbeats."""

import threading
from collections import deque
from dataclasses import dataclass, field, replace

from corianderhold.clock import Clock
from corianderhold.ids import ServiceName
from corianderhold.state.membership.const import (
    LATE_HEARTBEAT_S,
    TARGET_TTL_S,
    WITHDRAWN_STARTS_MAX,
)
from corianderhold.state.membership.model import Address, TargetState


@dataclass(frozen=True)
class TargetStatus:
    """
    The local target; `address` is where it accepts requests, or None if absent.

    `slots` is the number of calls that it runs concurrently. It is cold, that is slow
    after its start, until `cold_until`; its last heartbeat came at `last_heartbeat_at`.
    Both are in monotonic seconds.
    """

    state: TargetState
    service: ServiceName | None = None
    address: Address | None = None
    target_id: str | None = None
    started: int | None = None
    slots: int | None = None
    cold_until: float = field(default=0.0, compare=False)
    last_heartbeat_at: float = field(default=float("-inf"), compare=False)


@dataclass(frozen=True)
class TargetAnnouncement:
    """
    The content of one heartbeat of a target.

    `target_id` identifies the target, which may restart with the same id; `started`
    orders its starts and `sequence` its heartbeats within one start, both None if the
    target does not provide them. `slots` is the number of calls that it runs
    concurrently, None if unknown. `cold_s` is for how many more seconds it is cold.
    """

    service: ServiceName
    address: Address
    draining: bool = False
    target_id: str | None = None
    started: int | None = None
    sequence: int | None = None
    slots: int | None = None
    cold_s: float = 0.0


ABSENT_TARGET = TargetStatus(TargetState.ABSENT)
TargetStart = tuple[str | Address | int | None, ...]


@dataclass(frozen=True)
class Departure:
    """
    A start of a target that drains or, if `withdrawn`, has left.

    It is stored in the log and at peers, so that a late heartbeat does not put the
    target back into service after a restart of the daemon.
    """

    target_id: str
    started: int | None
    withdrawn: bool

    def supersedes(self, other: "Departure | None") -> bool:
        """Return whether this says more than `other`; a start that left stays away."""
        if other is None or (other.target_id, other.started) != (
            self.target_id,
            self.started,
        ):
            return True
        return self.withdrawn and not other.withdrawn


class LocalTarget:
    """
    Keep the target's announcement for `ttl_s` seconds after each heartbeat.

    Each method takes effect before it returns, in the calling thread, so that a drain
    or an expiry applies at once and does not wait for gossip. The target is absent
    until `open`, `open_to_verified` or `open_to_later` is called, unless `is_open`.
    """

    def __init__(
        self, clock: Clock, ttl_s: float = TARGET_TTL_S, is_open: bool = True
    ) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self._is_open = is_open
        self._is_open_to_verified = is_open
        self._verified: TargetStart | None = None
        self._lock = threading.Lock()
        self._status = ABSENT_TARGET
        self._known: TargetAnnouncement | None = None
        self._drained: TargetStart | None = None
        self._withdrawn: deque[TargetStart] = deque(maxlen=WITHDRAWN_STARTS_MAX)
        self._withdrawn_id: str | None = None
        self._withdrawn_id_until = float("-inf")
        self._expires_at_s = float("-inf")
        self._closed = False
        self._dated_id: str | None = None

    def announce(self, announcement: TargetAnnouncement) -> None:
        """
        Process a heartbeat of the target; late and repeated ones are ignored.

        Once a target has stated its time of start, a heartbeat under its id without one
        is of another writer, and is ignored unless it drains. A drain applies to one
        start, until that start withdraws or another one announces itself. A drain in a
        late heartbeat still applies. For a target without an id, the drain ends when
        the announcement expires.
        """
        now_s = self._clock.read_monotonic()
        start = identify_start(announcement)
        with self._lock:
            known = self._known if now_s < self._expires_at_s else None
            if self._is_withdrawn(start, now_s) or self._lacks_start(announcement):
                return
            if known is not None and is_late(announcement, known):
                if announcement.draining and start == identify_start(known):
                    self._drain()
                return
            drain_ended = known is None and announcement.target_id is None
            if announcement.draining:
                self._drained = start
            elif drain_ended or self._drained != start:
                self._drained = None
            if announcement.started is not None:
                self._dated_id = announcement.target_id
            self._known = announcement
            self._expires_at_s = now_s + self._ttl_s
            self._status = self._build_status(announcement, now_s)

    def _lacks_start(self, announcement: TargetAnnouncement) -> bool:
        """Return whether a heartbeat that offers a target lacks its time of start."""
        if announcement.draining or announcement.started is not None:
            return False
        target_id = announcement.target_id
        return target_id is not None and target_id == self._dated_id

    def open(self) -> None:
        """Let a target that announces itself serve from now on."""
        with self._lock:
            self._is_open = True

    def open_to_verified(self) -> None:
        """
        Let a target serve that is verified, or that has no id.

        A departure is recorded only for a target with an id.
        """
        with self._lock:
            self._is_open_to_verified = True

    def open_to_later(self) -> None:
        """Let a target that is not verified serve from its next heartbeat on."""
        with self._lock:
            if not self._is_open and not self._is_believed():
                self._expires_at_s = float("-inf")
            self._is_open = True

    def verify(self, announcement: TargetAnnouncement) -> None:
        """Record that the start that sent a heartbeat has not left."""
        with self._lock:
            self._verified = identify_start(announcement)

    def needs_verification(self, announcement: TargetAnnouncement) -> bool:
        """Return whether the start that sent a heartbeat serves only once verified."""
        with self._lock:
            start = identify_start(announcement)
            is_known = self._known is not None and identify_start(self._known) == start
            if self._is_open or not is_known or self._is_believed():
                return False
            now_s = self._clock.read_monotonic()
            return not self._is_withdrawn(start, now_s) and start != self._drained

    def drain(self) -> Departure | None:
        """
        Mark the target as draining, so that it gets no new calls.

        Return the departure to store, or None for a target without an id.
        """
        with self._lock:
            self._drain()
            known = self._known
            if known is None or known.target_id is None:
                return None
            return Departure(known.target_id, known.started, withdrawn=False)

    def drain_start(self, status: TargetStatus) -> Departure | None:
        """
        Mark one start of the target as draining, if it is the current one.

        Return the departure to store, or None for a target without an id.
        """
        with self._lock:
            known = self._known
            if known is None or not is_start_of(status, known):
                return None
            self._drain()
            if known.target_id is None:
                return None
            return Departure(known.target_id, known.started, withdrawn=False)

    def withdraw(
        self, target_id: str | None = None, started: int | None = None
    ) -> Departure | None:
        """
        Remove a target; later heartbeats of the same start are ignored.

        Return the departure to store, or None for a target without an id.

        Other targets and later starts are not affected. If it is not known which start
        has left, no heartbeat with its id counts for LATE_HEARTBEAT_S. A target without
        an id serves again from its next heartbeat on.
        """
        with self._lock:
            known = self._known
            if known is not None and known.target_id == target_id:
                started = known.started if started is None else started
            departure = None
            if target_id is not None:
                departure = Departure(target_id, started, withdrawn=True)
                self._record_withdrawal(target_id, started)
            if known is None or known.target_id != target_id:
                return departure
            if known.started is None or started is None or known.started <= started:
                self._status = ABSENT_TARGET
                self._drained = None
            if target_id is None:
                self._known = None
            return departure

    def restore(self, departure: Departure) -> None:
        """Restore a drain or withdrawal from before this daemon restarted."""
        start = (departure.target_id, departure.started)
        with self._lock:
            if departure.withdrawn:
                self._record_withdrawal(departure.target_id, departure.started)
            known = self._known
            if known is None and departure.withdrawn:
                self._drained = None if self._drained == start else self._drained
            elif known is None:
                self._drained = start
            elif identify_start(known) == start:
                self._drain()
                if departure.withdrawn:
                    self._status = ABSENT_TARGET
            elif start == (known.target_id, None) and departure.withdrawn:
                self._status = ABSENT_TARGET

    def mark_absent(self, status: TargetStatus) -> None:
        """Treat this target as absent until its next heartbeat."""
        with self._lock:
            if self._status == status:
                self._status = ABSENT_TARGET

    def drain_permanently(self) -> None:
        """Drain permanently; later heartbeats do not end the drain."""
        with self._lock:
            self._drain()
            self._closed = True

    def read(self) -> TargetStatus:
        """Return the current status; absent once the last heartbeat has expired."""
        now_s = self._clock.read_monotonic()
        with self._lock:
            is_open = self._is_open or (
                self._is_open_to_verified and self._is_believed()
            )
            is_present = is_open and now_s < self._expires_at_s
            return self._status if is_present else ABSENT_TARGET

    def _is_believed(self) -> bool:
        """Return whether the known heartbeat can't undo a departure."""
        known = self._known
        if known is None:
            return False
        if known.target_id is None or self._status.state is not TargetState.SERVING:
            return True
        return identify_start(known) == self._verified

    def _record_withdrawal(self, target_id: str, started: int | None) -> None:
        if (target_id, started) not in self._withdrawn:
            self._withdrawn.append((target_id, started))
        if started is None:
            self._withdrawn_id = target_id
            until = self._clock.read_monotonic() + LATE_HEARTBEAT_S
            self._withdrawn_id_until = until

    def _is_withdrawn(self, start: TargetStart, now_s: float) -> bool:
        if start in self._withdrawn:
            return True
        return start[0] == self._withdrawn_id and now_s < self._withdrawn_id_until

    def _drain(self) -> None:
        if self._known is not None:
            self._drained = identify_start(self._known)
        if self._status.state is TargetState.SERVING:
            self._status = replace(self._status, state=TargetState.DRAINING)

    def _build_status(self, known: TargetAnnouncement, now_s: float) -> TargetStatus:
        draining = self._closed or self._drained == identify_start(known)
        return TargetStatus(
            TargetState.DRAINING if draining else TargetState.SERVING,
            known.service,
            known.address,
            known.target_id,
            known.started,
            known.slots,
            now_s + known.cold_s,
            now_s,
        )


def identify_start(announcement: TargetAnnouncement) -> TargetStart:
    """Return the identity of one start of a target."""
    if announcement.target_id is not None:
        return announcement.target_id, announcement.started
    return announcement.service, announcement.address, announcement.started


def is_start_of(status: TargetStatus, announcement: TargetAnnouncement) -> bool:
    """Return whether a status is of the start that made an announcement."""
    return (status.target_id, status.started, status.address) == (
        announcement.target_id,
        announcement.started,
        announcement.address,
    )


def is_late(announcement: TargetAnnouncement, known: TargetAnnouncement) -> bool:
    """Return whether a heartbeat is repeated, reordered or from an earlier start."""
    started, known_started = announcement.started, known.started
    if started is not None and known_started is not None and started != known_started:
        return started < known_started
    if identify_start(announcement) != identify_start(known):
        return False
    if announcement.sequence is None or known.sequence is None:
        return False
    return announcement.sequence <= known.sequence
