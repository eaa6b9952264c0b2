"""Drain the local target and stop a daemon gracefully."""

import time
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.deadline import StopDeadline
from corianderhold.log import log_event
from corianderhold.settings.model import StopTimes
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus

POLL_INTERVAL_S = 0.02
SHUTDOWN_RESERVE_S = 0.9  # of the stop limit, to answer calls and stop components
CANCEL_GRACE_S = 0.2


class DrainableTarget(Protocol):
    """Drain the local target and read its state."""

    def drain_for_operator(self) -> None:
        """Refuse new calls to the local target from now on."""

    def read_target(self) -> TargetStatus:
        """Return the current state of the target."""


class TargetDrain:
    """Drain the local target on an operator's command."""

    def __init__(self, holder: DrainableTarget) -> None:
        self._holder = holder

    def drain(self) -> None:
        """Stop accepting calls to the target; repeated calls have no effect."""
        self._holder.drain_for_operator()

    def is_draining(self) -> bool:
        """Return whether the target is present but accepts no new calls."""
        return self._holder.read_target().state is TargetState.DRAINING


class FleetMember(Protocol):
    """Announce to the fleet that this daemon leaves."""

    def leave(self) -> None:
        """Refuse new calls to the local target and announce it immediately."""


class InFlightSource(Protocol):
    """Count the requests in flight."""

    def count_in_flight(self) -> int:
        """Return the number of requests in flight."""


class RequestIntake(InFlightSource, Protocol):
    """Stop admitting requests on command."""

    def stop_admitting(self) -> None:
        """Refuse new requests from now on."""


class DrainingListener(InFlightSource, Protocol):
    """Make callers move to other connections."""

    def begin_drain(self) -> None:
        """Continue serving and close each connection after its next response."""

    def hand_over_responses(self) -> None:
        """Let the kernel deliver responses that callers read slowly."""

    def close_idle(self) -> None:
        """Close connections on which no part of a request has been received."""


class ReadinessSwitch(Protocol):
    """Switch the response to readiness checks."""

    def open(self) -> None:
        """Report ready as soon as a configuration is in force."""

    def close(self) -> None:
        """Report not ready from now on."""


class CallCanceller(Protocol):
    """Cancel the calls that this entry has in flight."""

    def cancel_all(self) -> None:
        """Cancel all calls that callers wait for, so that they get a response."""


@dataclass(frozen=True)
class StopParts:
    """
    The components of a daemon that a planned stop takes out of service.

    `senders` send responses to others than callers. The listener counts a request until
    its caller has taken the response, `senders` until they have sent it.
    """

    readiness: ReadinessSwitch
    member: FleetMember
    listener: DrainingListener
    intake: RequestIntake
    owner: InFlightSource
    calls: CallCanceller
    senders: tuple[InFlightSource, ...] = ()


class GracefulStop:
    """Drain before the listeners close; starts as the last component, stops first."""

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
        """Report ready to callers."""
        self._parts.readiness.open()

    def stop(self) -> None:
        """
        Leave the fleet, then continue serving while callers move elsewhere.

        After that, requests in flight get a bounded time to complete. Calls that take
        longer are cancelled, so that their callers get a response.
        """
        began_at = self._deadline.begin()
        parts = self._parts
        parts.readiness.close()
        parts.member.leave()
        parts.listener.begin_drain()
        log_event("drain_begun", in_flight=self._count())
        self._wait_until(began_at + self._times.deregistration_delay_s)
        parts.intake.stop_admitting()
        parts.listener.hand_over_responses()
        parts.listener.close_idle()
        self._wait_while_busy(began_at + self._times.limit_s - SHUTDOWN_RESERVE_S)
        if self._count():
            log_event("drain_incomplete", in_flight=self._count())
            parts.calls.cancel_all()
            self._wait_while_busy(self._clock.read_monotonic() + CANCEL_GRACE_S)
        duration_s = self._clock.read_monotonic() - began_at
        log_event("drained", in_flight=self._count(), seconds=duration_s)

    def _wait_until(self, at: float) -> None:
        while (left_s := at - self._clock.read_monotonic()) > 0:
            time.sleep(min(left_s, POLL_INTERVAL_S))

    def _wait_while_busy(self, give_up_at: float) -> None:
        while self._count() and self._clock.read_monotonic() < give_up_at:
            time.sleep(POLL_INTERVAL_S)

    def _count(self) -> int:
        parts = self._parts
        sources = (parts.intake, parts.owner, parts.listener, *parts.senders)
        return sum(source.count_in_flight() for source in sources)
