"""Test from when on callers may come."""

from unittest import TestCase

from corianderhold.ids import OrganisationId, Version
from corianderhold.readiness import SETTLE_WAIT_S, Readiness
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from tests.common.clock import FakeClock

NAME = OrganisationId("archive")


class ReadinessTests(TestCase):
    """Ask at each step of a start."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = ConfigurationHolder()
        self.settled = False
        self.readiness = Readiness(self.holder, self.clock, lambda: self.settled)

    def put_in_force(self, rate: float) -> None:
        organisations = {NAME: Organisation(NAME, rate=rate, burst=rate, shares={})}
        self.holder.replace(Configuration(Version(1), organisations=organisations))

    def test_daemon_is_ready_between_open_and_close_with_a_configuration(self) -> None:
        self.settled = True
        self.assertFalse(self.readiness.is_ready())
        self.readiness.open()
        self.assertFalse(self.readiness.is_ready())
        self.put_in_force(1.0)
        self.assertTrue(self.readiness.is_ready())
        self.readiness.close()
        self.assertFalse(self.readiness.is_ready())

    def test_rates_are_waited_for_until_they_settle(self) -> None:
        self.readiness.open()
        self.put_in_force(1.0)
        self.assertFalse(self.readiness.is_ready())
        self.settled = True
        self.assertTrue(self.readiness.is_ready())

    def test_rates_that_never_settle_are_waited_for_a_bounded_time(self) -> None:
        self.readiness.open()
        self.put_in_force(1.0)
        self.clock.advance(SETTLE_WAIT_S - 0.1)
        self.assertFalse(self.readiness.is_ready())
        self.clock.advance(0.1)
        self.assertTrue(self.readiness.is_ready())

    def test_nothing_is_waited_for_where_no_organisation_has_a_rate(self) -> None:
        self.readiness.open()
        self.put_in_force(0.0)
        self.assertTrue(self.readiness.is_ready())
