"""Test the fixed slices and the charge at the entry."""

from unittest import TestCase

from corianderhold.coordination.rate.limiter import Allowance, AllowanceLimiter
from corianderhold.coordination.rate.static import StaticAllocator
from corianderhold.ids import FailureDomainId, OrganisationId, Version
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from tests.common.clock import FakeClock

ARCHIVE = OrganisationId("archive")
EAST = FailureDomainId("east")
WEST = FailureDomainId("west")


def build_configuration(version: int, rate: float, burst: float) -> Configuration:
    shares = {EAST: 0.5, WEST: 0.5}
    organisation = Organisation(ARCHIVE, rate, burst, shares=shares)
    return Configuration(Version(version), organisations={ARCHIVE: organisation})


class AllowanceLimiterTests(TestCase):
    """Check one entry's charges."""

    def test_unknown_organisation_is_refused_as_not_run(self) -> None:
        refusal = AllowanceLimiter().charge(ARCHIVE, 5.0).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.RATE_EXCEEDED)

    def test_refusal_names_the_time_of_the_next_token(self) -> None:
        limiter = AllowanceLimiter()
        limiter.set_allowance(ARCHIVE, Allowance(4.0, 2.0), 0.0)
        refusal = limiter.charge(ARCHIVE, 0.0).unwrap_err()
        self.assertTrue(limiter.charge(ARCHIVE, refusal.retry_after_ms / 1e3).is_ok())

    def test_nothing_is_admitted_after_the_end(self) -> None:
        limiter = AllowanceLimiter()
        limiter.set_allowance(ARCHIVE, Allowance(10.0, 5.0, ends_at=2.0), 0.0)
        self.assertTrue(limiter.charge(ARCHIVE, 1.9).is_ok())
        self.assertTrue(limiter.charge(ARCHIVE, 2.0).is_err())

    def test_tokens_of_an_ended_allowance_are_dropped(self) -> None:
        limiter = AllowanceLimiter()
        limiter.set_allowance(ARCHIVE, Allowance(10.0, 5.0, ends_at=2.0), 0.0)
        limiter.set_allowance(ARCHIVE, Allowance(10.0, 5.0, ends_at=9.0), 3.0)
        self.assertTrue(limiter.charge(ARCHIVE, 3.0).is_err())


class StaticAllocatorTests(TestCase):
    """Check that the slices add up to the whole."""

    def build_entry(
        self, domain: FailureDomainId, clock: FakeClock
    ) -> AllowanceLimiter:
        limiter = AllowanceLimiter()
        holder = ConfigurationHolder()
        holder.replace(build_configuration(1, rate=24.0, burst=12.0))
        StaticAllocator(limiter, holder, domain, 3, clock).start()
        return limiter

    def test_all_entries_together_stay_within_rate_and_burst(self) -> None:
        clock = FakeClock()
        entries = [self.build_entry(d, clock) for d in (EAST, EAST, EAST, WEST, WEST)]
        clock.advance(60.0)
        admitted = 0
        for _ in range(100):
            clock.advance(0.1)
            now = clock.read_monotonic()
            admitted += sum(e.charge(ARCHIVE, now).is_ok() for e in entries * 3)
        self.assertLessEqual(admitted, 24.0 * 10.0 + 12.0)
        self.assertGreaterEqual(admitted, 24.0 * 10.0 * 5 / 6 - 5)

    def test_replaced_entry_starts_empty(self) -> None:
        entry = self.build_entry(EAST, FakeClock())
        self.assertTrue(entry.charge(ARCHIVE, 1000.0).is_err())

    def test_no_slots_give_nothing(self) -> None:
        limiter = AllowanceLimiter()
        holder = ConfigurationHolder()
        clock = FakeClock()
        StaticAllocator(limiter, holder, EAST, 0, clock).start()
        holder.replace(build_configuration(1, rate=24.0, burst=12.0))
        self.assertTrue(limiter.charge(ARCHIVE, 2000.0).is_err())

    def test_revised_rate_is_applied(self) -> None:
        limiter = AllowanceLimiter()
        holder = ConfigurationHolder()
        clock = FakeClock()
        StaticAllocator(limiter, holder, EAST, 1, clock).start()
        holder.replace(build_configuration(1, rate=24.0, burst=12.0))
        holder.replace(build_configuration(2, rate=2.0, burst=2.0))
        now = clock.read_monotonic() + 100.0
        charges = [limiter.charge(ARCHIVE, now).is_ok() for _ in range(4)]
        self.assertEqual(charges, [True, False, False, False])
