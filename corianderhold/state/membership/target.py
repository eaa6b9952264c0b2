"""Hold the announcement of the local target, which the owner asks for."""

import threading
from collections import deque
from dataclasses import dataclass, field, replace

from corianderhold.clock import Clock
from corianderhold.ids import ServiceName
from corianderhold.state.membership.const import TARGET_TTL_S, WITHDRAWN_STARTS
from corianderhold.state.membership.model import Address, TargetState


@dataclass(frozen=True)
class TargetStatus:
    """
    The local target; `address` is where it takes requests, None if absent.

    `slots` is how many calls it runs at once. Until `cold_until`, in monotonic seconds,
    it is slow after its start. The last heartbeat came at `heard_at`.
    """

    state: TargetState
    service: ServiceName | None = None
    address: Address | None = None
    target_id: str | None = None
    started: int | None = None
    slots: int | None = None
    cold_until: float = field(default=0.0, compare=False)
    heard_at: float = field(default=float("-inf"), compare=False)


@dataclass(frozen=True)
class TargetAnnouncement:
    """
    What a target says of itself in one heartbeat.

    `target_id` names the target, which may start again under the same id; `started`
    orders its starts and `sequence` its heartbeats within one start, both None where
    the target does not say. `slots` is how many calls it runs at once, None if unknown.
    `cold_s` is for how many more seconds it is slow after its start.
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

    It is kept in the log, so that a daemon that restarts beside the target does not
    take a late heartbeat for a target in service.
    """

    target_id: str
    started: int | None
    withdrawn: bool


class TargetHolder:
    """
    Hold the target's announcement for a limited time after each heartbeat.

    Every call takes effect before it returns, in the caller's thread, so that a drain
    or a lapse holds at once whatever the gossip does.
    """

    def __init__(self, clock: Clock, ttl_s: float = TARGET_TTL_S) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._status = ABSENT_TARGET
        self._known: TargetAnnouncement | None = None
        self._drained: TargetStart | None = None
        self._withdrawn: deque[TargetStart] = deque(maxlen=WITHDRAWN_STARTS)
        self._expires_at_s = float("-inf")
        self._closed = False

    def announce(self, announcement: TargetAnnouncement) -> None:
        """
        Take a heartbeat of the target; a late or repeated one changes nothing.

        A drain holds for the start that it was said of, until that withdraws or another
        start announces itself. It holds also where a late heartbeat says it. For a
        target without an id it ends when the announcement lapses.
        """
        now_s = self._clock.read_monotonic()
        start = identify_start(announcement)
        with self._lock:
            known = self._known if now_s < self._expires_at_s else None
            if start in self._withdrawn:
                return
            if known is not None and is_late(announcement, known):
                if announcement.draining and start == identify_start(known):
                    self._drain()
                return
            ended = known is None and announcement.target_id is None
            if announcement.draining:
                self._drained = start
            elif ended or self._drained != start:
                self._drained = None
            self._known = announcement
            self._expires_at_s = now_s + self._ttl_s
            self._status = self._build_status(announcement, now_s)

    def drain(self) -> None:
        """Refuse new work from now on."""
        with self._lock:
            self._drain()

    def withdraw(
        self, target_id: str | None = None, started: int | None = None
    ) -> Departure | None:
        """
        Forget a target; a later heartbeat of the same start does not bring it back.

        Return what is to be remembered of it, None for a target without an id.

        Another target or a later start stays. A target without an id serves again with
        its next heartbeat.
        """
        with self._lock:
            known = self._known
            if known is not None and known.target_id == target_id:
                started = known.started if started is None else started
            if target_id is not None:
                self._withdrawn.append((target_id, started))
            departure = None
            if target_id is not None:
                departure = Departure(target_id, started, withdrawn=True)
            if known is None or known.target_id != target_id:
                return departure
            if known.started is None or started is None or known.started <= started:
                self._status = ABSENT_TARGET
                self._drained = None
            if target_id is None:
                self._known = None
            return departure

    def recall(self, departure: Departure) -> None:
        """Hold for left or draining what was so before this daemon restarted."""
        start = (departure.target_id, departure.started)
        with self._lock:
            if departure.withdrawn:
                self._withdrawn.append(start)
            known = self._known
            if known is None:
                self._drained = None if departure.withdrawn else start
            elif identify_start(known) == start:
                self._drain()
                if departure.withdrawn:
                    self._status = ABSENT_TARGET

    def suspend(self, status: TargetStatus) -> None:
        """Hold this target for absent until its next heartbeat."""
        with self._lock:
            if self._status == status:
                self._status = ABSENT_TARGET

    def close(self) -> None:
        """Drain for good: no later heartbeat makes the target serve again."""
        with self._lock:
            self._drain()
            self._closed = True

    def read(self) -> TargetStatus:
        """Return the status at this moment; absent once the heartbeat has lapsed."""
        now_s = self._clock.read_monotonic()
        with self._lock:
            return self._status if now_s < self._expires_at_s else ABSENT_TARGET

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
    """Return what tells one start of a target from every other."""
    if announcement.target_id is not None:
        return announcement.target_id, announcement.started
    return announcement.service, announcement.address, announcement.started


def is_late(announcement: TargetAnnouncement, known: TargetAnnouncement) -> bool:
    """Return whether a heartbeat is of an earlier start, or repeated or overtaken."""
    started, known_started = announcement.started, known.started
    if started is not None and known_started is not None and started != known_started:
        return started < known_started
    if identify_start(announcement) != identify_start(known):
        return False
    if announcement.sequence is None or known.sequence is None:
        return False
    return announcement.sequence <= known.sequence
