"""
Test the drain of a target and the graceful stop of a daemon.

If the steps of a stop run in another order, callers are refused before they have moved
elsewhere, or calls in flight are lost; a call that hangs must not exceed the limit.
"""

import threading
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.deadline import StopDeadline
from corianderhold.drain import GracefulStop, InFlightSource, StopParts, TargetDrain
from corianderhold.ids import ServiceName
from corianderhold.settings.model import StopTimes
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import (
    LocalTarget,
    TargetAnnouncement,
    TargetStatus,
)
from tests.common.clock import FakeClock


class FakeMembership:
    """Provide a target as the membership service does."""

    def __init__(self) -> None:
        self.target = LocalTarget(FakeClock())

    def drain_for_operator(self) -> None:
        self.target.drain()

    def read_target(self) -> TargetStatus:
        return self.target.read()


class TargetDrainTests(TestCase):
    """Drain the target on command."""

    def test_daemon_without_a_target_is_not_draining(self) -> None:
        self.assertFalse(TargetDrain(FakeMembership()).is_draining())

    def test_drained_target_is_draining(self) -> None:
        membership = FakeMembership()
        address = Address("127.0.0.1", 1)
        membership.target.announce(TargetAnnouncement(ServiceName("rights"), address))
        drain = TargetDrain(membership)
        self.assertFalse(drain.is_draining())
        drain.drain()
        drain.drain()
        self.assertTrue(drain.is_draining())


class FakeDaemon:
    """Record the steps of a stop; one call is in flight until it is cancelled."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.in_flight = 1

    def open(self) -> None:
        self.steps.append("ready")

    def close(self) -> None:
        self.steps.append("not ready")

    def leave(self) -> None:
        self.steps.append("leave")

    def begin_drain(self) -> None:
        self.steps.append("drain")

    def hand_over_responses(self) -> None:
        self.steps.append("hand over")

    def close_idle(self) -> None:
        self.steps.append("close idle")

    def stop_admitting(self) -> None:
        self.steps.append("refuse")

    def count_in_flight(self) -> int:
        return self.in_flight

    def cancel_all(self) -> None:
        self.steps.append("cancel")
        self.in_flight = 0


class GracefulStopTests(TestCase):
    """Check the order of the steps of a stop."""

    def setUp(self) -> None:
        self.daemon = FakeDaemon()

    def stop(self, times: StopTimes, *senders: InFlightSource) -> list[str]:
        daemon = self.daemon
        parts = StopParts(daemon, daemon, daemon, daemon, daemon, daemon, senders)
        clock = SystemClock()
        deadline = StopDeadline(times.limit_s, clock)
        graceful = GracefulStop(parts, times, deadline, clock)
        graceful.start()
        graceful.stop()
        return daemon.steps

    def test_calls_that_take_too_long_are_cancelled_last(self) -> None:
        steps = self.stop(StopTimes(1.0, 0.0))
        begun = ["ready", "not ready", "leave", "drain"]
        ended = ["refuse", "hand over", "close idle", "cancel"]
        self.assertEqual(steps, [*begun, *ended])

    def test_response_that_is_still_sent_is_waited_for(self) -> None:
        class Sender:
            left = 3

            def count_in_flight(self) -> int:
                self.left -= 1
                return max(0, self.left)

        self.daemon.in_flight = 0
        sender = Sender()
        steps = self.stop(StopTimes(60.0, 0.0), sender)
        self.assertNotIn("cancel", steps)
        self.assertLess(sender.left, 1)

    def test_call_in_flight_is_waited_for(self) -> None:
        timer = threading.Timer(0.1, self.daemon.cancel_all)
        timer.start()
        self.addCleanup(timer.join)
        steps = self.stop(StopTimes(60.0, 0.0))
        self.assertEqual(steps[-2:], ["close idle", "cancel"])
