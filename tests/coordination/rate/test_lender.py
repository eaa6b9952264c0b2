"""
Test which rate, capacity and tokens a lender reserves, and when it releases them.

If a grant is released while its borrower may still use it, or tokens in transit are not
reserved, the same token is used twice and the organisation exceeds its burst.
"""

from unittest import TestCase

from corianderhold.coordination.rate.const import (
    DOMAIN_LOAN_RESERVED_S,
    DOMAIN_LOAN_S,
    ENTRY_LOAN_RESERVED_S,
    SHARE_INCREASE_DELAY_S,
    SINGLE_LOAN_RESERVED_S,
)
from corianderhold.coordination.rate.lender import BorrowerId, BorrowerKind, Lender
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.rate.model import LoanAsk, LoanGrant

ARCHIVE = OrganisationId("archive")
NORTH = FailureDomainId("north")
ROUNDING = 1e-6


def name_borrower(name: str, kind: BorrowerKind = BorrowerKind.ENTRY) -> BorrowerId:
    return BorrowerId(kind, InstanceId(name), Incarnation(1))


A, B = name_borrower("a"), name_borrower("b")


def build_ask(
    demand: float, applied: int = 0, capacity: float = 0.0, returned: float = 0.0
) -> LoanAsk:
    return LoanAsk(ARCHIVE, applied, capacity, returned, demand, 5.0)


class LenderTests(TestCase):
    """Check a share of 10 requests per second with a burst of 20."""

    def setUp(self) -> None:
        self.lender = Lender(0.0)
        self.lender.set_share(0.0, 10.0, 20.0)
        self.numbers = 0

    def lend(self, now: float, borrower: BorrowerId, ask: LoanAsk) -> LoanGrant:
        self.numbers += 1
        grant = self.lender.grant_loan(now, borrower, self.numbers, ask)
        assert grant is not None
        return grant

    def borrow(self, now: float, number: int, rate: float, capacity: float) -> None:
        loan = LoanGrant(ARCHIVE, number, rate, capacity, 0.0)
        self.lender.accept_borrowed(now, NORTH, loan, now + DOMAIN_LOAN_S)

    def test_new_lender_has_no_tokens(self) -> None:
        grant = self.lend(0.0, A, build_ask(5.0))
        self.assertEqual(grant.tokens, 0.0)

    def test_two_borrowers_never_get_more_than_the_share(self) -> None:
        first = self.lend(5.0, A, build_ask(50.0))
        second = self.lend(5.0, B, build_ask(50.0))
        self.assertLessEqual(first.rate + second.rate, 10.0 + ROUNDING)
        self.assertLessEqual(first.capacity + second.capacity, 20.0 + ROUNDING)

    def test_bucket_is_reduced_by_grants(self) -> None:
        grant = self.lend(5.0, A, build_ask(5.0))
        self.lender.advance(6.0)
        self.assertLessEqual(
            self.lender.read_tokens() + grant.capacity, 20.0 + ROUNDING
        )

    def test_expired_loan_returns_no_tokens(self) -> None:
        self.lend(5.0, A, build_ask(50.0))
        end = 5.0 + ENTRY_LOAN_RESERVED_S
        self.lender.advance(end - 0.01)
        before = self.lender.read_tokens()
        self.lender.advance(end)
        self.assertLessEqual(self.lender.read_tokens() - before, 0.1 + ROUNDING)

    def test_unconfirmed_grant_stays_reserved(self) -> None:
        first = self.lend(5.0, A, build_ask(50.0))
        self.lend(5.5, A, build_ask(1.0, first.number, first.capacity))
        other = self.lend(6.0, B, build_ask(50.0))
        self.assertLessEqual(first.rate + other.rate, 10.0 + ROUNDING)

    def test_tokens_in_transit_are_reserved_above_the_capacity_in_use(self) -> None:
        first = self.lend(5.0, A, build_ask(2.0))
        ask = build_ask(2.0, first.number, first.capacity)
        second = self.lend(5.5, A, ask)
        self.assertGreater(second.tokens, 0.0)
        out = first.capacity + second.tokens
        self.assertLessEqual(self.lender._bucket.capacity + out, 20.0 + ROUNDING)

    def test_confirmed_grant_replaces_the_others(self) -> None:
        first = self.lend(5.0, A, build_ask(50.0))
        second = self.lend(5.5, A, build_ask(1.0, first.number, first.capacity))
        self.lend(6.0, A, build_ask(1.0, second.number, second.capacity))
        other = self.lend(6.0, B, build_ask(50.0))
        self.assertGreater(other.rate, 5.0)

    def test_late_request_is_ignored(self) -> None:
        self.assertIsNotNone(self.lender.grant_loan(5.0, A, 7, build_ask(1.0)))
        self.assertIsNone(self.lender.grant_loan(5.1, A, 6, build_ask(1.0)))

    def test_returned_tokens_count_only_within_the_capacity_given_up(self) -> None:
        grant = self.lend(5.0, A, build_ask(5.0))
        self.lender.advance(5.0)
        before = self.lender.read_tokens()
        ask = LoanAsk(ARCHIVE, grant.number, 0.0, 1000.0, 0.0, 0.0)
        self.lend(5.0, A, ask)
        gained = self.lender.read_tokens() - before
        self.assertLessEqual(gained, grant.capacity + ROUNDING)

    def test_token_for_one_call_stays_reserved_for_its_time(self) -> None:
        grant = self.lender.grant_single_token(5.0, build_ask(0.0))
        self.assertEqual(grant.tokens, 1.0)
        self.lender.advance(5.0 + SINGLE_LOAN_RESERVED_S - 0.01)
        self.assertLessEqual(self.lender.read_tokens(), 19.0)
        self.lender.advance(5.0 + SINGLE_LOAN_RESERVED_S)
        self.lender.advance(6.0)
        self.assertGreater(self.lender.read_tokens(), 19.0)

    def test_domain_gets_only_the_rate_that_entries_leave(self) -> None:
        entry = self.lend(5.0, A, build_ask(6.0))
        domain = name_borrower("north", BorrowerKind.DOMAIN)
        grant = self.lend(5.0, domain, build_ask(50.0))
        self.assertLessEqual(entry.rate + grant.rate, 10.0 + ROUNDING)
        later = 5.0 + DOMAIN_LOAN_RESERVED_S - 0.01
        other = self.lend(later, B, build_ask(50.0))
        self.assertLessEqual(other.rate + grant.rate, 10.0 + ROUNDING)

    def test_borrowed_rate_is_lent_on_only_while_it_lasts(self) -> None:
        self.borrow(5.0, 1, 30.0, 30.0)
        early = self.lend(5.1, A, build_ask(30.0))
        self.assertGreater(early.rate, 10.0)
        last = 5.0 + DOMAIN_LOAN_S - ENTRY_LOAN_RESERVED_S + 0.1
        late = self.lend(last, B, build_ask(30.0))
        self.assertLessEqual(late.rate, 10.0 + ROUNDING)

    def test_smaller_grant_is_pending_until_no_loan_depends_on_the_larger(self) -> None:
        self.borrow(5.0, 1, 30.0, 30.0)
        self.lend(5.1, A, build_ask(30.0))
        self.borrow(8.0, 2, 1.0, 1.0)
        self.assertEqual(self.lender.borrowed.find_total(8.0).rate, 30.0)
        end = 5.1 + ENTRY_LOAN_RESERVED_S
        self.lender.advance(end)
        self.assertEqual(self.lender.borrowed.find_total(end).rate, 1.0)

    def test_pending_grant_is_not_lent_on_beyond_the_one_in_use(self) -> None:
        self.borrow(5.0, 1, 0.0, 30.0)
        first = self.lend(5.1, A, build_ask(30.0))
        self.borrow(6.0, 2, 30.0, 1.0)
        second = self.lend(6.1, B, build_ask(30.0))
        self.assertEqual(self.lender.borrowed.confirm_used(NORTH).number, 1)
        self.assertLessEqual(first.rate + second.rate, 10.0 + ROUNDING)

    def test_grant_not_confirmed_in_a_request_is_removed(self) -> None:
        self.borrow(5.0, 1, 30.0, 30.0)
        self.lend(5.1, A, build_ask(30.0))
        self.borrow(6.0, 2, 1.0, 1.0)
        self.assertEqual(self.lender.borrowed.confirm_used(NORTH).number, 1)
        self.lender.advance(5.0 + DOMAIN_LOAN_S)
        self.assertEqual(self.lender.borrowed.find_total(11.0).rate, 0.0)

    def test_share_increase_is_delayed_and_decrease_applies_at_once(self) -> None:
        self.lender.set_share(5.0, 20.0, 10.0)
        self.assertEqual(self.lender.read_share().rate, 10.0)
        self.assertEqual(self.lender.read_share().capacity, 10.0)
        self.lender.advance(5.0 + SHARE_INCREASE_DELAY_S)
        self.assertEqual(self.lender.read_share().rate, 20.0)
