"""Hold the announcement of the local target, which the owner asks for."""

import threading
from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.ids import ServiceName
from corianderhold.state.membership.const import TARGET_TTL_S
from corianderhold.state.membership.model import Address, TargetState


@dataclass(frozen=True)
class TargetStatus:
    """The local target; `address` is where it takes requests, None if absent."""

    state: TargetState
    service: ServiceName | None = None
    address: Address | None = None


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
        self._expires_at_s = float("-inf")
        self._closed = False

    def announce(self, service: ServiceName, address: Address, restarted: bool) -> None:
        """
        Take a heartbeat of the target.

        A drain lasts through further heartbeats until the target withdraws, lapses,
        moves or says that it has restarted.
        """
        now_s = self._clock.read_monotonic()
        with self._lock:
            current = self._read(now_s)
            state = TargetState.SERVING
            same = (current.service, current.address) == (service, address)
            if current.state is TargetState.DRAINING and same and not restarted:
                state = TargetState.DRAINING
            if self._closed:
                state = TargetState.DRAINING
            self._status = TargetStatus(state, service, address)
            self._expires_at_s = now_s + self._ttl_s

    def drain(self) -> None:
        """Refuse new work from now on."""
        with self._lock:
            if self._status.state is TargetState.SERVING:
                status = self._status
                self._status = TargetStatus(
                    TargetState.DRAINING, status.service, status.address
                )

    def withdraw(self) -> None:
        """Forget the target; its next heartbeat makes it serve again."""
        with self._lock:
            self._status = ABSENT_TARGET

    def close(self) -> None:
        """Drain for good: no later heartbeat makes the target serve again."""
        self.drain()
        with self._lock:
            self._closed = True

    def read(self) -> TargetStatus:
        """Return the status at this moment; absent once the heartbeat has lapsed."""
        now_s = self._clock.read_monotonic()
        with self._lock:
            return self._read(now_s)

    def _read(self, now_s: float) -> TargetStatus:
        return self._status if now_s < self._expires_at_s else ABSENT_TARGET
