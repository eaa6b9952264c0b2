"""
Test the validation of configurations.

A fault that validation misses becomes part of a version on every daemon.
"""

import unittest
from dataclasses import replace

from result import Err

from corianderhold.ids import FailureDomainId, OrganisationId, RouteName, ServiceName
from corianderhold.state.configuration.delta import apply_delta
from corianderhold.state.configuration.model import (
    EMPTY_CONFIGURATION,
    Organisation,
    Route,
    TrafficSplit,
)
from corianderhold.state.configuration.records import Delta
from corianderhold.state.configuration.validation import (
    list_names,
    validate_configuration,
)
from tests.common.changes import BASE, CATALOGUE, RADIO, SEARCH

START = apply_delta(EMPTY_CONFIGURATION, BASE).unwrap()
SCHOOL = OrganisationId("school")


def split(*parts: tuple[str, float]) -> Route:
    """Return a route that distributes its requests over services by weight."""
    splits = tuple(TrafficSplit(ServiceName(name), weight) for name, weight in parts)
    return replace(SEARCH, service=ServiceName(""), splits=splits)


def share(*parts: float) -> Organisation:
    """Return an organisation with these shares."""
    shares = {FailureDomainId(f"d{i}"): part for i, part in enumerate(parts)}
    return replace(RADIO, shares=shares)


class ChecksTest(unittest.TestCase):
    """Check the faults of changes to a single entity."""

    def find(self, delta: Delta) -> list[tuple[str, str]]:
        """Return the entity name and the option of each fault of a change."""
        applied = apply_delta(START, delta)
        if isinstance(applied, Err):
            return [(each.name, each.option) for each in applied.err_value]
        self.assertEqual(validate_configuration(applied.ok_value), ())
        return []

    def test_access_of_a_route(self) -> None:
        radio = frozenset({RADIO.name})
        named = ("search", "organisations")
        for route, faults in (
            (replace(SEARCH, open_to_all=False, organisations=radio), []),
            (replace(SEARCH, open_to_all=True, organisations=radio), [named]),
            (replace(SEARCH, open_to_all=False), [named]),
            (
                replace(SEARCH, open_to_all=False, organisations=frozenset({SCHOOL})),
                [named],
            ),
            (replace(SEARCH, anonymous=True), []),
            (
                replace(SEARCH, anonymous=True, open_to_all=False, organisations=radio),
                [("search", "anonymous")],
            ),
        ):
            self.assertEqual(self.find(Delta(routes=(route,))), faults)

    def test_two_routes_that_match_the_same_request(self) -> None:
        any_method = replace(SEARCH, name=RouteName("any"), methods=frozenset())
        fault = [("again", "path_prefix"), ("any", "path_prefix")]
        for other, faults in (
            (replace(any_method, host="a"), []),
            (replace(any_method, methods=frozenset({"PUT"})), []),
            (any_method, fault),
            (replace(any_method, path_prefix="/search/"), fault),
        ):
            again = replace(other, name=RouteName("again"))
            self.assertEqual(self.find(Delta(routes=(any_method, again))), faults)

    def test_services_and_weights_of_splits(self) -> None:
        fault = ("search", "splits")
        both = replace(split(("catalogue", 1)), service=ServiceName("catalogue"))
        for route, faults in (
            (split(("catalogue", 3), ("archive", 1)), []),
            (split(("catalogue", 3), ("gone", 1)), [fault]),
            (split(("catalogue", 3), ("catalogue", 1)), [fault]),
            (split(("catalogue", 0)), [fault]),
            (both, [("search", "service")]),
        ):
            archive = replace(CATALOGUE, name=ServiceName("archive"))
            delta = Delta(routes=(route,), services=(archive,))
            self.assertEqual(self.find(delta), faults)

    def test_shares_above_or_below_one(self) -> None:
        fault = [("radio", "shares")]
        for organisation, faults in (
            (share(*[1 / 15] * 15), []),
            (share(0.5, 0.5000001), fault),
            (share(0.5, 0.4999999), fault),
            (share(), fault),
            (replace(share(), rate=0.0), []),
            (replace(share(0.5), rate=0.0), fault),
        ):
            delta = Delta(organisations=(organisation,))
            self.assertEqual(self.find(delta), faults)

    def test_removed_organisation_that_a_route_names(self) -> None:
        school = replace(RADIO, name=SCHOOL)
        closed = replace(SEARCH, open_to_all=False, organisations=frozenset({SCHOOL}))
        given = Delta(routes=(closed,), organisations=(school,))
        before = apply_delta(START, given).unwrap()
        applied = apply_delta(before, Delta(removed_organisations=(SCHOOL,)))
        assert isinstance(applied, Err)
        faults = [(each.name, each.option) for each in applied.err_value]
        self.assertEqual(faults, [("search", "organisations")])

    def test_long_lists_of_names_are_truncated(self) -> None:
        text = list_names(f"n{index:02}" for index in range(20))
        self.assertTrue(text.endswith("n11, and 8 more"), text)
