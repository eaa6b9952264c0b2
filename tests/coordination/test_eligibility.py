"""
Test which owners calls may be sent to under the configuration in force.

A mistake here sends data to a forbidden region, or calls to an evacuated domain.
"""

from dataclasses import replace
from unittest import TestCase

from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.ids import FailureDomainId, RegionId, RouteName, Version
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation, Route
from corianderhold.state.membership.model import Member
from tests.common.calls import CATALOGUE, make_context, make_member

WEST, EAST = RegionId("west"), RegionId("east")
CONTEXT = make_context()
ROUTE = Route(CONTEXT.route, CATALOGUE, "/", frozenset())
ORGANISATION = Organisation(CONTEXT.organisation, 0, 0)
NEAR = make_member("near")
FAR = make_member("far", "east-a", "east")


class EligibilityTests(TestCase):
    """Restrict the regions of a route, of its organisation, or of both."""

    def setUp(self) -> None:
        self.holder = ConfigurationHolder()
        self.rules = EligibilityRules(self.holder)
        self.version = 0

    def configure(
        self,
        route: frozenset[RegionId] = frozenset(),
        organisation: frozenset[RegionId] = frozenset(),
        evacuated: frozenset[FailureDomainId] = frozenset(),
    ) -> None:
        self.version += 1
        self.holder.replace(
            Configuration(
                Version(self.version),
                routes=(replace(ROUTE, regions=route),),
                organisations={
                    ORGANISATION.name: replace(ORGANISATION, regions=organisation)
                },
                evacuated=evacuated,
            )
        )

    def list_allowed(self) -> list[Member]:
        eligibility = self.rules.find(CONTEXT)
        return [each for each in (NEAR, FAR) if eligibility.allows(each)]

    def test_empty_sets_restrict_nothing(self) -> None:
        self.configure()
        self.assertEqual(self.list_allowed(), [NEAR, FAR])

    def test_route_and_organisation_restrictions_both_apply(self) -> None:
        self.configure(route=frozenset({EAST}))
        self.assertEqual(self.list_allowed(), [FAR])
        self.configure(organisation=frozenset({WEST}))
        self.assertEqual(self.list_allowed(), [NEAR])
        self.configure(frozenset({WEST, EAST}), frozenset({EAST}))
        self.assertEqual(self.list_allowed(), [FAR])

    def test_restrictions_without_a_common_region_allow_none(self) -> None:
        self.configure(frozenset({WEST}), frozenset({EAST}))
        self.assertEqual(self.list_allowed(), [])

    def test_other_routes_are_not_restricted(self) -> None:
        self.configure(route=frozenset({EAST}))
        other = replace(CONTEXT, route=RouteName("other"))
        self.assertTrue(self.rules.find(other).allows(NEAR))

    def test_owners_tried_or_in_evacuated_domains_are_excluded(self) -> None:
        self.configure(evacuated=frozenset({NEAR.domain}))
        self.assertEqual(self.list_allowed(), [FAR])
        eligibility = self.rules.find(CONTEXT).exclude(FAR.instance)
        self.assertFalse(eligibility.allows(FAR))
        self.holder.replace(replace(self.holder.current, evacuated=frozenset()))
        self.assertEqual(self.list_allowed(), [NEAR, FAR])
