"""Test the choice of an owner."""

from collections import deque
from random import Random
from unittest import TestCase

from corianderhold.coordination.eligibility import Eligibility
from corianderhold.coordination.entry.choice import (
    AttemptOutcome,
    LocalityChooser,
)
from corianderhold.coordination.entry.const import (
    EJECTION_FAILURES,
    EJECTION_TIME_S,
    PUSH_BACK_LIFETIME_S,
    SLOW_LIFETIME_S,
)
from corianderhold.ids import FailureDomainId, InstanceId, RegionId
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.state.membership.place import Place
from tests.common.calls import make_member
from tests.common.clock import FakeClock

NEAR = make_member("near")
NEAR2 = make_member("near2")
REGION = make_member("region", domain="west-b")
FAR = make_member("far", domain="east-a", region="east")
ANY = Eligibility()


class LocalityChooserTests(TestCase):
    """Choose among owners near and far."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        place = Place(InstanceId("entry"), FailureDomainId("west-a"), RegionId("west"))
        self.chooser = LocalityChooser(place, self.clock, Random(7))

    def choose(self, *owners: object, importance: int = 1) -> str | None:
        choice = self.chooser.choose(owners, importance, ANY)  # type: ignore[arg-type]
        return choice.chosen.instance if choice.chosen else None

    def end(
        self, instance: str, outcome: AttemptOutcome, load: LoadReport | None = None
    ) -> None:
        self.chooser.note_end(InstanceId(instance), outcome, load)

    def test_nearest_is_taken_while_it_has_room(self) -> None:
        chosen = {self.choose(NEAR, REGION, FAR) for _ in range(50)}
        self.assertEqual(chosen, {"near"})

    def test_busy_near_owner_loses_to_a_farther_one(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(10, 10, 5))
        self.assertEqual(self.choose(NEAR, REGION), "region")

    def test_each_ring_is_filled_before_the_next(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(8, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "near")
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "region")
        self.end("region", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "far")
        self.end("far", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "near")

    def test_own_target_before_others_of_the_domain(self) -> None:
        own = make_member("entry")
        self.end("entry", AttemptOutcome.ANSWERED, LoadReport(5, 10))
        chosen = {self.choose(NEAR, own) for _ in range(20)}
        self.assertEqual(chosen, {"entry"})

    def test_less_busy_of_two_is_taken(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.end("near2", AttemptOutcome.ANSWERED, LoadReport(1, 10))
        self.assertEqual(self.choose(NEAR, NEAR2), "near2")

    def test_candidates_tell_how_old_their_loads_are(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(1, 10))
        self.clock.advance(0.25)
        choice = self.chooser.choose((NEAR, NEAR2), 1, ANY)
        ages = {c.member.instance: c.load_age_s for c in choice.candidates}
        self.assertEqual(ages, {"near": 0.25, "near2": float("inf")})

    def test_tried_owner_is_not_taken_again(self) -> None:
        tried = ANY.exclude(NEAR.instance)
        choice = self.chooser.choose((NEAR, FAR), 1, tried)
        self.assertEqual(choice.chosen, FAR)
        self.assertIsNone(self.chooser.choose((NEAR,), 1, tried).chosen)

    def test_failing_owner_is_ejected_and_comes_back(self) -> None:
        for _ in range(EJECTION_FAILURES):
            self.end("near", AttemptOutcome.FAILED)
        self.assertEqual(self.choose(NEAR, NEAR2), "near2")
        self.clock.advance(EJECTION_TIME_S + 0.1)
        chosen = {self.choose(NEAR, NEAR2) for _ in range(50)}
        self.assertEqual(chosen, {"near", "near2"})

    def test_all_ejected_is_as_good_as_none(self) -> None:
        for instance in ("near", "near2"):
            for _ in range(EJECTION_FAILURES):
                self.end(instance, AttemptOutcome.FAILED)
        self.assertIsNotNone(self.choose(NEAR, NEAR2))

    def test_shed_importance_is_pushed_back_level_by_level(self) -> None:
        for instance in ("near", "near2"):
            self.end(instance, AttemptOutcome.REFUSED, LoadReport(10, 10, 5, 2))
        low = [self.choose(NEAR, NEAR2, importance=1) for _ in range(200)]
        self.assertGreater(low.count(None), 150)
        self.assertLess(low.count(None), 200, "some are let through as probes")
        high = [self.choose(NEAR, NEAR2, importance=2) for _ in range(20)]
        self.assertNotIn(None, high)
        self.clock.advance(2)
        self.assertIsNotNone(self.choose(NEAR, NEAR2, importance=0))

    def test_push_back_ends_soon_without_a_new_report(self) -> None:
        self.end("near", AttemptOutcome.REFUSED, LoadReport(10, 10, 5, 2))
        self.clock.advance(2 * PUSH_BACK_LIFETIME_S)
        later = [self.choose(NEAR, importance=1) for _ in range(200)]
        self.assertNotIn(None, later)


class SlowOwnersTests(TestCase):
    """Choose among owners whose mean times differ."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        place = Place(InstanceId("entry"), FailureDomainId("west-a"), RegionId("west"))
        self.chooser = LocalityChooser(place, self.clock, Random(7))
        self.owners = tuple(make_member(f"o{number}") for number in range(6))

    def report(self, *means_ms: int) -> None:
        for owner, mean_ms in zip(self.owners, means_ms, strict=True):
            load = LoadReport(0, 20, mean_ms=mean_ms)
            self.chooser.note_end(owner.instance, AttemptOutcome.ANSWERED, load)

    def choose_often(self) -> set[str]:
        chosen = [self.chooser.choose(self.owners, 1, ANY).chosen for _ in range(200)]
        return {member.instance for member in chosen if member}

    def test_far_slower_ones_are_left_out_until_their_reports_are_old(self) -> None:
        self.report(50, 60, 400, 70, 40, 600)
        self.assertEqual(self.choose_often(), {"o0", "o1", "o3", "o4"})
        self.clock.advance(SLOW_LIFETIME_S + 0.1)
        self.assertEqual(len(self.choose_often()), 6)

    def test_usual_differences_leave_nobody_out(self) -> None:
        self.report(50, 100, 150, 150, 50, 75)
        self.assertEqual(len(self.choose_often()), 6)

    def test_never_more_than_half_are_left_out(self) -> None:
        self.report(50, 60, 600, 600, 600, 600)
        self.assertEqual(len(self.choose_often()), 6)


class SlowFleet:
    """Eight targets of one service, three of them twelve times slower, at 0.4 load."""

    slots = 28
    service_s = 0.05
    slow_factor = 12
    calls_per_s = 1800.0
    step_s = 0.005

    def __init__(self, entries: int = 6) -> None:
        self.clock = FakeClock()
        self.random = Random(5)
        self.owners = tuple(
            make_member(f"o{number}", domain=f"west-{'ab'[number % 2]}")
            for number in range(8)
        )
        self.slow = {owner.instance for owner in self.owners[:3]}
        self.choosers = [
            LocalityChooser(
                Place(InstanceId(f"e{n}"), FailureDomainId("west-a"), RegionId("west")),
                self.clock,
                self.random,
            )
            for n in range(entries)
        ]
        self.in_flight = {owner.instance: 0 for owner in self.owners}
        self.mean_ms = {owner.instance: 50.0 for owner in self.owners}
        self.running: deque[tuple[float, float, InstanceId, LocalityChooser]] = deque()

    def play(self, seconds: float) -> tuple[int, int]:
        """Return how many calls were answered within 0.3 s, and how many were made."""
        made = in_time = 0
        due = 0.0
        for _ in range(round(seconds / self.step_s)):
            in_time += self._end_calls()
            due += self.calls_per_s * self.step_s
            while due >= 1:
                due -= 1
                made += 1
                self._begin_call()
            self.clock.advance(self.step_s)
        return in_time, made

    def _begin_call(self) -> None:
        chooser = self.random.choice(self.choosers)
        chosen = chooser.choose(self.owners, 1, ANY).chosen
        assert chosen is not None
        owner = chosen.instance
        chooser.note_start(owner)
        self.in_flight[owner] += 1
        # A full target makes calls wait for its slots.
        waits = max(1.0, self.in_flight[owner] / self.slots)
        factor = self.slow_factor if owner in self.slow else 1
        took_s = self.service_s * factor * waits
        ends_at = self.clock.read_monotonic() + took_s
        self.running.append((ends_at, took_s, owner, chooser))

    def _end_calls(self) -> int:
        now = self.clock.read_monotonic()
        in_time = 0
        for _ in range(len(self.running)):
            ends_at, took_s, owner, chooser = self.running.popleft()
            if ends_at > now:
                self.running.append((ends_at, took_s, owner, chooser))
                continue
            self.in_flight[owner] -= 1
            self.mean_ms[owner] += 0.1 * (took_s * 1000 - self.mean_ms[owner])
            load = LoadReport(
                self.in_flight[owner], self.slots, mean_ms=int(self.mean_ms[owner])
            )
            chooser.note_end(owner, AttemptOutcome.ANSWERED, load)
            in_time += took_s <= 0.3
        return in_time


class SlowFleetTests(TestCase):
    """Check what callers get once the slow targets had a second to be noticed."""

    def test_callers_are_answered_in_time_beside_slow_targets(self) -> None:
        fleet = SlowFleet()
        fleet.play(1.0)
        in_time, made = fleet.play(6.0)
        self.assertGreaterEqual(in_time, 0.95 * made)
