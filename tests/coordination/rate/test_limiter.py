"""
Test the admission of requests within the allowances of an entry.

An entry that uses an allowance after its end admits requests from tokens that its
lender has already granted to others.
"""

from unittest import TestCase

from corianderhold.coordination.rate.limiter import Allowance, AllowanceLimiter
from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason

ARCHIVE = OrganisationId("archive")


class AllowanceLimiterTests(TestCase):
    """Check admission and refusal at one entry."""

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

    def test_tokens_of_an_expired_allowance_are_discarded(self) -> None:
        limiter = AllowanceLimiter()
        limiter.set_allowance(ARCHIVE, Allowance(10.0, 5.0, ends_at=2.0), 0.0)
        limiter.set_allowance(ARCHIVE, Allowance(10.0, 5.0, ends_at=9.0), 3.0)
        self.assertTrue(limiter.charge(ARCHIVE, 3.0).is_err())
