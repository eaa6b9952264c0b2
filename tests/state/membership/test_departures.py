"""
Test which departures of other daemons' targets are kept.

Guards against a departure that is forgotten too early, or weakened by one that
arrives out of order.
"""

from itertools import permutations
from unittest import TestCase

from corianderhold.ids import InstanceId
from corianderhold.state.membership.const import (
    DEPARTURE_RETENTION_S,
    DEPARTURES_MAX,
    INSTANCE_DEPARTURES_MAX,
)
from corianderhold.state.membership.departures import DepartureTable
from corianderhold.state.membership.target import Departure
from tests.common.clock import FakeClock

OWNER = InstanceId("owner")
DRAINED = Departure("t1", 5, withdrawn=False)
LEFT = Departure("t1", 5, withdrawn=True)


class DepartureTableTests(TestCase):
    """Keep departures on a fake clock."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = DepartureTable(self.clock)

    def test_start_that_has_left_stays_withdrawn_in_any_order(self) -> None:
        for order in permutations((DRAINED, LEFT, DRAINED)):
            table = DepartureTable(self.clock)
            for departure in order:
                table.keep(OWNER, (departure,))
            self.assertEqual(table.find(OWNER), (LEFT,))

    def test_departures_are_kept_for_their_retention(self) -> None:
        self.table.keep(OWNER, (LEFT,))
        self.clock.advance(DEPARTURE_RETENTION_S - 0.1)
        self.assertEqual(self.table.find(OWNER), (LEFT,))
        self.clock.advance(0.2)
        self.assertEqual(self.table.find(OWNER), ())

    def test_repeated_departure_is_kept_longer(self) -> None:
        self.table.keep(OWNER, (LEFT,))
        self.clock.advance(DEPARTURE_RETENTION_S - 0.1)
        self.table.keep(OWNER, (DRAINED,))
        self.clock.advance(0.2)
        self.assertEqual(self.table.find(OWNER), (LEFT,))

    def test_newest_starts_of_an_instance_are_kept(self) -> None:
        departures = tuple(
            Departure("t1", number, withdrawn=True)
            for number in range(INSTANCE_DEPARTURES_MAX + 2)
        )
        self.table.keep(OWNER, departures)
        self.assertEqual(self.table.find(OWNER), departures[2:])

    def test_memory_is_bounded(self) -> None:
        for number in range(DEPARTURES_MAX + 1):
            self.table.keep(InstanceId(f"owner-{number}"), (LEFT,))
        self.assertEqual(self.table.find(InstanceId("owner-0")), ())
        self.assertEqual(self.table.find(InstanceId("owner-1")), (LEFT,))
