"""
Test that requests are split by weight, on one daemon and over many.

With few requests on each daemon, rounding on every daemon would add up to wrong shares
over the fleet.
"""

from collections import Counter
from dataclasses import replace
from random import Random
from unittest import TestCase

from corianderhold.coordination.entry.split import SplitChooser
from corianderhold.ids import ServiceName, Version
from corianderhold.state.configuration.model import Configuration, Route, TrafficSplit
from tests.common.changes import SEARCH

WEIGHTS = {"new": 7.0, "old": 2.0, "older": 1.0, "off": 0.0}
DAEMONS = 1000


def split_route(weights: dict[str, float]) -> Route:
    """Return a route that is split by these weights."""
    splits = tuple(
        TrafficSplit(ServiceName(name), each) for name, each in weights.items()
    )
    return replace(SEARCH, service=ServiceName(""), splits=splits)


def build_chooser(seed: int, route: Route) -> SplitChooser:
    """Return the split chooser of one daemon."""
    chooser = SplitChooser(Random(seed))
    chooser.apply_configuration(Configuration(Version(1), routes=(route,)))
    return chooser


class SplitTests(TestCase):
    """Choose services for a sequence of requests."""

    def test_every_run_of_requests_is_split_by_weight(self) -> None:
        route = split_route(WEIGHTS)
        chooser = build_chooser(1, route)
        counts: Counter[ServiceName] = Counter()
        for total in range(1, 2001):
            counts[chooser.choose(route)] += 1
            for name, weight in WEIGHTS.items():
                count = counts[ServiceName(name)]
                self.assertLess(abs(count - total * weight / 10), 2, (total, name))

    def test_few_requests_on_each_of_many_daemons_sum_to_the_shares(self) -> None:
        route = split_route(WEIGHTS)
        choosers = [build_chooser(seed, route) for seed in range(DAEMONS)]
        counts = Counter(each.choose(route) for each in choosers * 3)
        for name, weight in WEIGHTS.items():
            share = counts[ServiceName(name)] / (3 * DAEMONS)
            self.assertAlmostEqual(share, weight / 10, delta=0.02)

    def test_sequence_continues_while_the_weights_are_the_same(self) -> None:
        route = split_route(WEIGHTS)
        kept, left = build_chooser(5, route), build_chooser(5, route)
        for version in range(2, 200):
            other = replace(split_route(WEIGHTS), deadline_ms=version)
            kept.apply_configuration(Configuration(Version(version), routes=(other,)))
            self.assertEqual(kept.choose(other), left.choose(route))

    def test_request_of_a_version_not_applied_is_split_by_its_weights(self) -> None:
        chooser = build_chooser(1, split_route(WEIGHTS))
        changed = split_route({"new": 1.0, "old": 3.0})
        counts = Counter(chooser.choose(changed) for _ in range(4000))
        self.assertAlmostEqual(counts[ServiceName("old")] / 4000, 0.75, delta=0.03)
        self.assertEqual(chooser.choose(SEARCH), SEARCH.service)
