"""Take the local target out of service, and end a daemon gracefully."""

import time
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.deadline import StopDeadline
from corianderhold.log import log_event
from corianderhold.settings.model import StopTimes
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus

CHECK_INTERVAL_S = 0.02
END_RESERVE_S = 0.9  # of the limit, to answer what is left and to end the parts
CANCEL_GRACE_S = 0.2


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


class RequestIntake(InFlightSource, Protocol):
    """Refuse new requests on command."""

    def stop_admitting(self) -> None:
        """Refuse new requests from now on."""


class DrainingListener(Protocol):
    """Have callers come back on other connections."""

    def begin_drain(self) -> None:
        """Serve on, and close each connection after its next answer."""

    def close_idle(self) -> None:
        """Close the connections on which no part of a request has come."""


class ReadinessSwitch(Protocol):
    """Answer readiness checks."""

    def open(self) -> None:
        """Be ready as soon as a configuration is in force."""

    def close(self) -> None:
        """Be ready no more."""


class CallCanceller(Protocol):
    """Cancel the calls of this entry."""

    def cancel_all(self) -> None:
        """Cancel all calls that callers wait for, so that they get an answer."""


@dataclass(frozen=True)
class StopParts:
    """The parts of a daemon that a planned stop takes out of service."""

    readiness: ReadinessSwitch
    member: FleetMember
    listener: DrainingListener
    intake: RequestIntake
    owner: InFlightSource
    calls: CallCanceller


class GracefulStop:
    """Drain before the listeners close: the last component to start, first to stop."""

    def __init__(
        self,
        parts: StopParts,
        times: StopTimes,
        deadline: StopDeadline,
        clock: Clock,
    ) -> None:
        self._parts = parts
        self._times = times
        self._deadline = deadline
        self._clock = clock

    def start(self) -> None:
        """Be ready for callers."""
        self._parts.readiness.open()

    def stop(self) -> None:
        """
        Leave the fleet, then serve on until callers have gone elsewhere.

        What is in flight then gets a bounded time; calls that last longer are
        cancelled, which answers their callers.
        """
        began_at = self._deadline.begin()
        parts = self._parts
        parts.readiness.close()
        parts.member.leave()
        parts.listener.begin_drain()
        log_event("drain_begun", in_flight=self._count())
        self._wait_until(began_at + self._times.deregistration_delay_s)
        parts.intake.stop_admitting()
        parts.listener.close_idle()
        self._wait_while_busy(began_at + self._times.limit_s - END_RESERVE_S)
        if self._count():
            log_event("drain_incomplete", in_flight=self._count())
            parts.calls.cancel_all()
            self._wait_while_busy(self._clock.read_monotonic() + CANCEL_GRACE_S)
        duration_s = self._clock.read_monotonic() - began_at
        log_event("drained", in_flight=self._count(), seconds=duration_s)

    def _wait_until(self, at: float) -> None:
        while (left_s := at - self._clock.read_monotonic()) > 0:
            time.sleep(min(left_s, CHECK_INTERVAL_S))

    def _wait_while_busy(self, give_up_at: float) -> None:
        while self._count() and self._clock.read_monotonic() < give_up_at:
            time.sleep(CHECK_INTERVAL_S)

    def _count(self) -> int:
        parts = self._parts
        return parts.intake.count_in_flight() + parts.owner.count_in_flight()
