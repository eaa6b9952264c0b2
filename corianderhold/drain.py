"""Take the local target out of service, and end a daemon gracefully."""

import time
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.log import log_event
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus

DRAIN_LIMIT_S = 10.0
CHECK_INTERVAL_S = 0.05


class TargetHolder(Protocol):
    """Hold the local target's state."""

    def drain_target(self) -> None:
        """Refuse new work for the local target from now on."""

    def read_target(self) -> TargetStatus:
        """Return the target's state at this moment."""


class TargetDrain:
    """Drain the local target on an operator's command."""

    def __init__(self, holder: TargetHolder) -> None:
        self._holder = holder

    def drain(self) -> None:
        """Stop taking new work for the target; a repeated call changes nothing."""
        self._holder.drain_target()

    def is_draining(self) -> bool:
        """Return whether the target takes no new work though it is there."""
        return self._holder.read_target().state is TargetState.DRAINING


class FleetMember(Protocol):
    """Tell the fleet that this daemon leaves."""

    def leave(self) -> None:
        """Refuse new work for the local target and spread the news at once."""


class InFlightSource(Protocol):
    """Count the requests in flight."""

    def count_in_flight(self) -> int:
        """Return the number of requests that are being served."""


class RequestListener(InFlightSource, Protocol):
    """Refuse new requests on command."""

    def stop_admitting(self) -> None:
        """Refuse new requests from now on."""


class GracefulStop:
    """Drain before the listeners close: the last component to start, first to stop."""

    def __init__(
        self,
        member: FleetMember,
        listener: RequestListener,
        owner: InFlightSource,
        clock: Clock,
    ) -> None:
        self._member = member
        self._listener = listener
        self._owner = owner
        self._clock = clock

    def start(self) -> None:
        """Do nothing yet."""

    def stop(self) -> None:
        """Take no new work and wait a bounded time for what is in flight."""
        self._member.leave()
        self._listener.stop_admitting()
        give_up_at = self._clock.read_monotonic() + DRAIN_LIMIT_S
        while self._count() and self._clock.read_monotonic() < give_up_at:
            time.sleep(CHECK_INTERVAL_S)
        log_event("drained", in_flight=self._count())

    def _count(self) -> int:
        return self._listener.count_in_flight() + self._owner.count_in_flight()
