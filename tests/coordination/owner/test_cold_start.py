"""
Test that cold targets get no more calls than their rate.

Targets that have just started crash above that rate and start cold again, so that a
failure domain that comes back at once would never recover.
"""

from collections import deque
from random import Random
from unittest import TestCase

from result import Ok

from corianderhold.coordination.eligibility import Eligibility
from corianderhold.coordination.entry.const import REROUTES_MAX
from corianderhold.coordination.entry.load_balancer import (
    AttemptOutcome,
    LocalityLoadBalancer,
)
from corianderhold.coordination.owner.admission import (
    AdmissionController,
    AdmissionPolicy,
)
from corianderhold.coordination.owner.cold_start import ColdStartLimiter
from corianderhold.coordination.owner.const import COLD_START_BURST
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.ids import FailureDomainId, InstanceId, RegionId, RouteName
from corianderhold.state.membership.locality import Locality
from corianderhold.state.membership.model import Address, Member, TargetState
from corianderhold.state.membership.target import TargetStatus
from tests.common.calls import CATALOGUE, make_context, make_member
from tests.common.clock import FakeClock

RATE = 5.5
COLD_S = 3.0
STEP_S = 0.01
TOLERATED = RATE * 1.5 + 8  # calls within one second; above it, a cold target crashes
SLOTS = 20
SERVICE_S = 0.05


def make_status(cold_until: float, heard_at: float = 0.0) -> TargetStatus:
    """Return a serving target that is cold until `cold_until`."""
    return TargetStatus(
        TargetState.SERVING,
        CATALOGUE,
        Address("127.0.0.1", 1),
        cold_until=cold_until,
        last_heartbeat_at=heard_at,
    )


class TargetPaceTests(TestCase):
    """Offer calls to one target continuously."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.now = self.clock.read_monotonic()
        self.pace = self.start()

    def start(self) -> ColdStartLimiter:
        pace = ColdStartLimiter(self.clock)
        pace.configure(RATE)
        return pace

    def follow(self, cold_s: float) -> None:
        now = self.clock.read_monotonic()
        self.pace.update_target(make_status(now + cold_s, now))

    def offer(self, seconds: float) -> int:
        taken = 0
        for _ in range(round(seconds / STEP_S)):
            taken += self.pace.try_acquire()
            self.clock.advance(STEP_S)
        return taken

    def test_cold_target_is_limited_to_its_rate_until_it_is_warm(self) -> None:
        self.follow(COLD_S)
        first = self.offer(1.0)
        self.assertLessEqual(first, RATE)
        self.assertGreaterEqual(first, RATE - 1)
        self.offer(COLD_S - 1.0 + STEP_S)
        self.assertEqual(self.offer(1.0), round(1.0 / STEP_S))

    def test_idle_time_accumulates_few_tokens(self) -> None:
        self.follow(COLD_S)
        self.pace.try_acquire()
        self.clock.advance(1.5)
        self.assertLessEqual(self.offer(1.0), RATE + COLD_START_BURST)

    def test_restart_of_the_daemon_grants_no_tokens_twice(self) -> None:
        self.follow(COLD_S)
        taken = self.offer(0.5)
        self.pace = self.start()
        self.follow(COLD_S - 0.5)
        self.assertLessEqual(taken + self.offer(0.5), RATE)

    def test_target_that_becomes_cold_again_is_limited_again(self) -> None:
        self.follow(0.0)
        self.assertEqual(self.offer(0.1), 10)
        self.follow(COLD_S)
        self.assertLessEqual(self.offer(1.0), RATE)

    def test_assumed_cold_target_is_limited_until_a_newer_heartbeat(self) -> None:
        self.follow(0.0)
        self.clock.advance(0.5)
        self.pace.assume_cold()
        self.assertLessEqual(self.offer(1.0), RATE)
        self.follow(0.0)
        self.assertFalse(self.pace.is_cold())

    def test_service_without_a_rate_is_not_limited(self) -> None:
        self.pace.configure(None)
        self.follow(COLD_S)
        self.assertEqual(self.offer(1.0), 100)
        self.assertEqual(self.pace.read_retry_after(), 0.0)

    def test_refused_calls_get_successive_retry_times(self) -> None:
        self.follow(COLD_S)
        waits = [self.pace.reserve_retry() for _ in range(40)]
        self.assertEqual(waits, sorted(waits))
        self.assertAlmostEqual(waits[1] - waits[0], 1 / RATE)
        self.assertLessEqual(waits[-1], COLD_S)


class ColdFleet:
    """Simulate twelve cold targets of one service, with calls from six entries."""

    def __init__(self, count: int = 12, entries: int = 6) -> None:
        self.clock = FakeClock()
        self.random = Random(3)
        policy = AdmissionPolicy(32, lambda organisation: 1.0, RATE)
        self.members = tuple(make_member(f"o{number}") for number in range(count))
        self.admissions: dict[InstanceId, AdmissionController] = {}
        now = self.clock.read_monotonic()
        for member in self.members:
            admission = AdmissionController(
                FixedLimit(SLOTS), policy, self.clock, self.random
            )
            admission.update_target(make_status(now + COLD_S, now))
            self.admissions[member.instance] = admission
        self.choosers = [
            LocalityLoadBalancer(
                Locality(
                    InstanceId(f"entry{n}"), FailureDomainId("west-a"), RegionId("west")
                ),
                self.clock,
                self.random,
            )
            for n in range(entries)
        ]
        self.arrivals: dict[InstanceId, deque[float]] = {
            member.instance: deque() for member in self.members
        }
        self.arrivals_per_s_max = 0
        self._running: deque[tuple[float, Member, LocalityLoadBalancer]] = deque()

    def play(self, seconds: float, calls_per_s: float) -> tuple[int, int]:
        """Offer calls at a rate; return how many were served and how many refused."""
        served = refused = 0
        due = 0.0
        for _ in range(round(seconds / STEP_S)):
            self._end_calls()
            due += calls_per_s * STEP_S
            while due >= 1:
                due -= 1
                if self._offer(self.random.choice(self.choosers)):
                    served += 1
                else:
                    refused += 1
            self.clock.advance(STEP_S)
        return served, refused

    def _offer(self, chooser: LocalityLoadBalancer) -> bool:
        eligibility = Eligibility()
        for _ in range(REROUTES_MAX + 1):
            chosen = chooser.choose(self.members, 1, eligibility).chosen
            if chosen is None:
                return False
            admission = self.admissions[chosen.instance]
            chooser.record_start(chosen.instance)
            context = make_context(deadline_at=self.clock.read_monotonic() + 5)
            outcome = admission.acquire(context, lambda waiter: None)
            if isinstance(outcome, Ok):
                self._note_arrival(chosen)
                ends_at = self.clock.read_monotonic() + SERVICE_S
                self._running.append((ends_at, chosen, chooser))
                return True
            load = admission.report_load(False)
            chooser.record_end(chosen.instance, AttemptOutcome.REFUSED, load)
            eligibility = eligibility.exclude(chosen.instance)
        return False

    def _note_arrival(self, member: Member) -> None:
        now = self.clock.read_monotonic()
        arrivals = self.arrivals[member.instance]
        arrivals.append(now)
        while arrivals[0] <= now - 1.0:
            arrivals.popleft()
        self.arrivals_per_s_max = max(self.arrivals_per_s_max, len(arrivals))

    def _end_calls(self) -> None:
        now = self.clock.read_monotonic()
        while self._running and self._running[0][0] <= now:
            _, member, chooser = self._running.popleft()
            admission = self.admissions[member.instance]
            admission.release(RouteName("search"), now - SERVICE_S, failed=False)
            chooser.record_end(
                member.instance, AttemptOutcome.ANSWERED, admission.report_load(False)
            )


class ColdFleetTests(TestCase):
    """Offer a service whose targets are all cold ten times their rate."""

    def test_no_target_is_overloaded_and_all_serve_once_warm(self) -> None:
        fleet = ColdFleet()
        allowed_per_s = 12 * RATE
        served, _ = fleet.play(COLD_S - STEP_S, 10 * allowed_per_s)
        self.assertLessEqual(fleet.arrivals_per_s_max, TOLERATED)
        self.assertGreaterEqual(served, 0.8 * allowed_per_s * COLD_S)
        fleet.play(2 * STEP_S, 0)
        served, refused = fleet.play(2.0, 10 * allowed_per_s)
        self.assertLessEqual(refused, 0.01 * (served + refused))
