"""
Test when a target is asked whether it has left, and which answers are believed.

Guards against heartbeats from before a forgotten departure that put the target back
into service, and against health checks of targets that have left.
"""

import threading
from dataclasses import replace
from unittest import TestCase

from corianderhold.coordination.membership.const import (
    TIMELY_HEARTBEAT_S,
    UNNAMED_HEARTBEAT_S,
)
from corianderhold.coordination.membership.health_check import HealthAnswer
from corianderhold.coordination.membership.verification import TargetVerifier
from corianderhold.ids import ServiceName
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import TargetAnnouncement
from tests.common.clock import FakeClock
from tests.common.waiting import wait_until

HEARTBEAT = TargetAnnouncement(
    ServiceName("rights"),
    Address("127.0.0.1", 8000),
    target_id="t1",
    started=5,
    sequence=1,
)


class FakeHealth:
    """Give one answer to all checks; `gate` holds them."""

    def __init__(self) -> None:
        self.answer = HealthAnswer.SERVES
        self.checks = 0
        self.gate = threading.Event()
        self.gate.set()

    def check(
        self, announcement: TargetAnnouncement, deadline_at: float
    ) -> HealthAnswer:
        """Return the answer."""
        answer = self.answer
        self.checks += 1
        self.gate.wait()
        return answer


class VerificationTests(TestCase):
    """Send heartbeats of one target to a verifier."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.health = FakeHealth()
        self.addCleanup(self.health.gate.set)
        self.verified: list[TargetAnnouncement] = []
        self.verifier = self.build()
        self.verifier.begin()

    def build(self) -> TargetVerifier:
        return TargetVerifier(
            self.health,
            self.clock,
            self.verified.append,
            self.clock.read_monotonic(),
        )

    def send(self, sequence: int, started: int = 5) -> None:
        heartbeat = replace(HEARTBEAT, sequence=sequence, started=started)
        self.verifier.handle_heartbeat(heartbeat)

    def wait_for_checks(self, count: int) -> None:
        wait_until(lambda: self.health.checks == count, f"{count} checks")
        wait_until(lambda: not self.verifier.is_checking, "no check runs")

    def test_first_heartbeat_in_time_is_checked_at_once(self) -> None:
        self.send(1)
        wait_until(lambda: self.verified == [HEARTBEAT], "the target is verified")

    def test_first_heartbeat_out_of_time_is_not_checked(self) -> None:
        self.clock.advance(TIMELY_HEARTBEAT_S + 0.1)
        self.send(1)
        self.send(1)
        self.assertEqual(self.health.checks, 0)
        self.send(2)
        self.wait_for_checks(1)
        self.assertEqual(len(self.verified), 1)

    def test_first_heartbeat_of_a_target_that_has_just_started_is_in_time(self) -> None:
        self.clock.advance(TIMELY_HEARTBEAT_S + 0.1)
        cold = replace(HEARTBEAT, cold_s=3.0)
        self.verifier.handle_heartbeat(cold)
        wait_until(lambda: self.verified == [cold], "the target is verified")

    def test_target_that_says_it_leaves_is_not_verified(self) -> None:
        self.health.answer = HealthAnswer.UNHEALTHY
        for sequence in (1, 2, 3):
            self.send(sequence)
            self.wait_for_checks(sequence)
        self.assertEqual(self.verified, [])

    def test_target_that_does_not_answer_is_asked_with_each_heartbeat(self) -> None:
        self.health.answer = HealthAnswer.NO_ANSWER
        self.send(1)
        self.wait_for_checks(1)
        self.health.answer = HealthAnswer.SERVES
        self.send(2)
        self.wait_for_checks(2)
        self.assertEqual(len(self.verified), 1)

    def test_target_without_a_name_is_not_believed_nor_asked_again(self) -> None:
        self.health.answer = HealthAnswer.UNNAMED
        self.send(1)
        self.wait_for_checks(1)
        self.send(2)
        self.assertEqual((self.health.checks, self.verified), (1, []))
        self.health.answer = HealthAnswer.SERVES
        self.send(1, started=6)
        self.wait_for_checks(2)
        self.assertEqual(len(self.verified), 1)

    def test_healthy_target_without_a_name_is_believed_later(self) -> None:
        self.health.answer = HealthAnswer.UNNAMED
        self.send(1)
        self.wait_for_checks(1)
        self.clock.advance(UNNAMED_HEARTBEAT_S - 0.1)
        self.send(2)
        self.assertEqual(self.verified, [])
        self.clock.advance(0.1)
        self.send(3)
        self.assertEqual(self.verified, [replace(HEARTBEAT, sequence=3)])
        self.assertEqual(self.health.checks, 1)

    def test_check_waits_for_the_configuration(self) -> None:
        self.health.answer = HealthAnswer.NOT_ASKED
        self.send(1)
        self.wait_for_checks(1)
        self.health.answer = HealthAnswer.SERVES
        self.verifier.check_due()
        wait_until(lambda: self.verified == [HEARTBEAT], "the target is verified")

    def test_configuration_that_comes_during_a_check_is_not_missed(self) -> None:
        self.health.answer = HealthAnswer.NOT_ASKED
        self.health.gate.clear()
        self.send(1)
        wait_until(lambda: self.health.checks == 1, "the check has begun")
        self.health.answer = HealthAnswer.SERVES
        self.verifier.check_due()
        self.health.gate.set()
        wait_until(lambda: self.verified == [HEARTBEAT], "the target is verified")

    def test_target_is_not_asked_before_or_after_the_doubt(self) -> None:
        self.verifier = self.build()
        self.send(1)
        self.assertFalse(self.verifier.is_checking)
        self.verifier.begin()
        wait_until(lambda: self.verified == [HEARTBEAT], "the target is verified")
        self.verifier.end()
        self.send(2)
        self.assertFalse(self.verifier.is_checking)
        self.assertEqual(self.health.checks, 1)
