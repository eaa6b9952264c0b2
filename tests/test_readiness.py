"""
Test when a daemon reports ready.

A daemon that is ready too early refuses callers for lack of a configuration or of
rates; one that waits for rates forever never gets any callers.
"""

from unittest import TestCase

from corianderhold.ids import OrganisationId, Version
from corianderhold.readiness import RATE_SETTLE_TIMEOUT_S, Readiness
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from tests.common.clock import FakeClock

NAME = OrganisationId("archive")


class ReadinessTests(TestCase):
    """Check readiness at each step of a start and a stop."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = ConfigurationHolder()
        self.settled = False
        self.readiness = Readiness(self.holder, self.clock, lambda: self.settled)

    def apply_configuration(self, rate: float) -> None:
        organisations = {NAME: Organisation(NAME, rate=rate, burst=rate, shares={})}
        self.holder.replace(Configuration(Version(1), organisations=organisations))

    def test_daemon_is_ready_between_open_and_close_with_a_configuration(self) -> None:
        self.settled = True
        self.assertFalse(self.readiness.is_ready())
        self.readiness.open()
        self.assertFalse(self.readiness.is_ready())
        self.apply_configuration(1.0)
        self.assertTrue(self.readiness.is_ready())
        self.readiness.close()
        self.assertFalse(self.readiness.is_ready())

    def test_not_ready_until_rates_settle(self) -> None:
        self.readiness.open()
        self.apply_configuration(1.0)
        self.assertFalse(self.readiness.is_ready())
        self.settled = True
        self.assertTrue(self.readiness.is_ready())

    def test_wait_for_rates_that_never_settle_is_bounded(self) -> None:
        self.readiness.open()
        self.apply_configuration(1.0)
        self.clock.advance(RATE_SETTLE_TIMEOUT_S - 0.1)
        self.assertFalse(self.readiness.is_ready())
        self.clock.advance(0.1)
        self.assertTrue(self.readiness.is_ready())

    def test_ready_at_once_if_no_organisation_has_a_rate(self) -> None:
        self.readiness.open()
        self.apply_configuration(0.0)
        self.assertTrue(self.readiness.is_ready())
