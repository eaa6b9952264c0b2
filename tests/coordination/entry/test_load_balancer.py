"""
Test the load balancing over owners.

A wrong choice sends calls to far or overloaded owners while near ones have capacity,
or keeps sending them to owners that fail.
"""

from dataclasses import replace
from random import Random
from unittest import TestCase

from corianderhold.coordination.eligibility import Eligibility
from corianderhold.coordination.entry.const import (
    EJECTION_FAILURES,
    EJECTION_TIME_S,
    LIMIT_REPORT_LIFETIME_S,
    PUSH_BACK_LIFETIME_S,
)
from corianderhold.coordination.entry.load_balancer import (
    AttemptOutcome,
    LocalityLoadBalancer,
)
from corianderhold.ids import FailureDomainId, InstanceId, RegionId
from corianderhold.protocol.peer.messages import LoadReport, TargetNotice
from corianderhold.state.membership.locality import Locality
from tests.common.calls import make_member
from tests.common.clock import FakeClock

NEAR = make_member("near")
NEAR2 = make_member("near2")
REGION = make_member("region", domain="west-b")
FAR = make_member("far", domain="east-a", region="east")
ANY = Eligibility()
LIMITED = LoadReport(1, 10, notice=TargetNotice(rate_limit=20.0))


class LocalityChooserTests(TestCase):
    """Choose between near and far owners."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        locality = Locality(
            InstanceId("entry"), FailureDomainId("west-a"), RegionId("west")
        )
        self.chooser = LocalityLoadBalancer(locality, self.clock, Random(7))

    def choose(self, *owners: object, importance: int = 1) -> str | None:
        choice = self.chooser.choose(owners, importance, ANY)  # type: ignore[arg-type]
        return choice.chosen.instance if choice.chosen else None

    def end(
        self, instance: str, outcome: AttemptOutcome, load: LoadReport | None = None
    ) -> None:
        self.chooser.record_end(InstanceId(instance), outcome, load)

    def test_nearest_owner_is_chosen_while_it_has_capacity(self) -> None:
        chosen = {self.choose(NEAR, REGION, FAR) for _ in range(50)}
        self.assertEqual(chosen, {"near"})

    def test_call_above_a_near_limit_goes_past_far_owners_at_their_limits(self) -> None:
        region = make_member("region2", domain="west-b")
        self.end("near", AttemptOutcome.REFUSED, replace(LIMITED, cold_wait_ms=50))
        self.end("region", AttemptOutcome.REFUSED, LIMITED)
        self.end("region2", AttemptOutcome.ANSWERED, LoadReport(4, 10))
        for _ in range(50):
            self.assertEqual(self.choose(NEAR, REGION, region), "region2")
        self.assertEqual(self.choose(NEAR, REGION), "region")
        self.clock.advance(LIMIT_REPORT_LIFETIME_S + 0.1)
        chosen = {self.choose(REGION, region) for _ in range(50)}
        self.assertEqual(chosen, {"region", "region2"})

    def test_far_owner_at_its_limit_is_used_when_the_others_are_full(self) -> None:
        self.end("region", AttemptOutcome.ANSWERED, LoadReport(10, 10, 5))
        self.end("far", AttemptOutcome.ANSWERED, LIMITED)
        self.assertEqual(self.choose(REGION, FAR), "far")

    def test_busy_near_owner_loses_to_a_farther_one(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(10, 10, 5))
        self.assertEqual(self.choose(NEAR, REGION), "region")

    def test_each_distance_is_filled_before_the_next(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(8, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "near")
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "region")
        self.end("region", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "far")
        self.end("far", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.assertEqual(self.choose(NEAR, REGION, FAR), "near")

    def test_own_target_is_preferred_within_the_domain(self) -> None:
        own = make_member("entry")
        self.end("entry", AttemptOutcome.ANSWERED, LoadReport(5, 10))
        chosen = {self.choose(NEAR, own) for _ in range(20)}
        self.assertEqual(chosen, {"entry"})

    def test_less_loaded_of_two_owners_is_chosen(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(9, 10))
        self.end("near2", AttemptOutcome.ANSWERED, LoadReport(1, 10))
        self.assertEqual(self.choose(NEAR, NEAR2), "near2")

    def test_candidates_have_the_age_of_their_load_reports(self) -> None:
        self.end("near", AttemptOutcome.ANSWERED, LoadReport(1, 10))
        self.clock.advance(0.25)
        choice = self.chooser.choose((NEAR, NEAR2), 1, ANY)
        ages = {c.member.instance: c.load_age_s for c in choice.candidates}
        self.assertEqual(ages, {"near": 0.25, "near2": float("inf")})

    def test_tried_owner_is_not_chosen_again(self) -> None:
        tried = ANY.exclude(NEAR.instance)
        choice = self.chooser.choose((NEAR, FAR), 1, tried)
        self.assertEqual(choice.chosen, FAR)
        self.assertIsNone(self.chooser.choose((NEAR,), 1, tried).chosen)

    def test_failing_owner_is_ejected_and_readmitted(self) -> None:
        for _ in range(EJECTION_FAILURES):
            self.end("near", AttemptOutcome.FAILED)
        self.assertEqual(self.choose(NEAR, NEAR2), "near2")
        self.clock.advance(EJECTION_TIME_S + 0.1)
        chosen = {self.choose(NEAR, NEAR2) for _ in range(50)}
        self.assertEqual(chosen, {"near", "near2"})

    def test_ejected_owners_are_used_if_all_are_ejected(self) -> None:
        for instance in ("near", "near2"):
            for _ in range(EJECTION_FAILURES):
                self.end(instance, AttemptOutcome.FAILED)
        self.assertIsNotNone(self.choose(NEAR, NEAR2))

    def test_shed_importance_is_pushed_back_level_by_level(self) -> None:
        for instance in ("near", "near2"):
            self.end(instance, AttemptOutcome.REFUSED, LoadReport(10, 10, 5, 2))
        low = [self.choose(NEAR, NEAR2, importance=1) for _ in range(200)]
        self.assertGreater(low.count(None), 150)
        self.assertLess(low.count(None), 200, "some calls are sent as probes")
        high = [self.choose(NEAR, NEAR2, importance=2) for _ in range(20)]
        self.assertNotIn(None, high)
        self.clock.advance(2)
        self.assertIsNotNone(self.choose(NEAR, NEAR2, importance=0))

    def test_push_back_expires_without_a_new_report(self) -> None:
        self.end("near", AttemptOutcome.REFUSED, LoadReport(10, 10, 5, 2))
        self.clock.advance(2 * PUSH_BACK_LIFETIME_S)
        later = [self.choose(NEAR, importance=1) for _ in range(200)]
        self.assertNotIn(None, later)
