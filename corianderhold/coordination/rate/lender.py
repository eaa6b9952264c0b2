"""Lend one organisation's rate and burst so that no token is counted twice."""

from dataclasses import dataclass, field
from enum import Enum

from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    DOMAIN_LOAN_KEPT_S,
    ENTRY_LOAN_KEPT_S,
    RAISE_DELAY_S,
    SINGLE_LOAN_KEPT_S,
)
from corianderhold.coordination.rate.limiter import Allowance
from corianderhold.coordination.rate.policy import (
    Offer,
    Pool,
    find_need,
    offer_to_domain,
    offer_to_entry,
)
from corianderhold.coordination.rate.supply import BorrowedSupply, NumberedAllowance
from corianderhold.ids import FailureDomainId, Incarnation, InstanceId
from corianderhold.protocol.rate.model import LoanAsk, LoanGrant


class BorrowerKind(Enum):
    """Who borrows: an entry of the own domain or the steward of another one."""

    ENTRY = "entry"
    DOMAIN = "domain"


@dataclass(frozen=True)
class BorrowerId:
    """One run of one borrower."""

    kind: BorrowerKind
    instance: InstanceId
    incarnation: Incarnation


@dataclass
class _Grant:
    """What a borrower may be using; `reserved` covers capacity and tokens sent."""

    number: int
    rate: float
    capacity: float
    reserved: float
    ends_at: float


@dataclass
class _Loan:
    """All grants that one borrower may be using, and its last request."""

    kind: BorrowerKind
    last_request: int = 0
    demand: float = 0.0
    grants: list[_Grant] = field(default_factory=list)

    @property
    def rate(self) -> float:
        """Return the highest rate that the borrower may be using."""
        return max((grant.rate for grant in self.grants), default=0.0)

    @property
    def reserved(self) -> float:
        """Return the highest capacity that the borrower may be using."""
        return max((grant.reserved for grant in self.grants), default=0.0)


class Lender:
    """
    Keep the loans of one organisation at one steward; not thread-safe.

    At every moment the own bucket and all that borrowers may be using add up to at
    most the domain's share and what it has borrowed. Times are monotonic seconds.
    Grants are numbered from `last_number` + 1. `unmet_tokens` adds up what entries
    wanted in vain; whoever borrows resets it.
    """

    def __init__(self, now: float, last_number: int = 0) -> None:
        self._own = Allowance(0.0, 0.0)
        self._raise: tuple[float, Allowance] | None = None
        self.borrowed = BorrowedSupply()
        self._loans: dict[BorrowerId, _Loan] = {}
        self._singles: list[_Grant] = []
        self._bucket = TokenBucket(0.0, 0.0, now)
        self._last_number = last_number
        self.unmet_tokens = 0.0

    def set_own(self, now: float, rate: float, capacity: float) -> None:
        """Change the share; what was raised counts after RAISE_DELAY_S."""
        self.settle(now)
        wanted = Allowance(rate, capacity)
        if wanted in (self._own, self._raise[1] if self._raise else None):
            return
        if self._own == Allowance(0.0, 0.0):
            self._own = wanted
        else:
            lowered = min(rate, self._own.rate), min(capacity, self._own.capacity)
            self._own = Allowance(*lowered)
            self._raise = (now + RAISE_DELAY_S, wanted)
        self._resize(now)

    def accept_borrowed(
        self, now: float, domain: FailureDomainId, grant: LoanGrant, ends_at: float
    ) -> None:
        """Take in what another domain lends, with the tokens that came with it."""
        self.settle(now)
        if ends_at <= now + ENTRY_LOAN_KEPT_S:
            return
        allowance = Allowance(grant.rate, grant.capacity, ends_at)
        self.borrowed.accept(domain, NumberedAllowance(grant.number, allowance))
        self.settle(now)
        self._bucket.add(now, grant.tokens)

    def find_need(self) -> float:
        """Return the rate that the own entries need, in requests a second."""
        loans = self._loans.values()
        demands = (x.demand for x in loans if x.kind is BorrowerKind.ENTRY)
        return sum(find_need(demand) for demand in demands)

    def read_own(self) -> Allowance:
        """Return the domain's own share."""
        return self._own

    def read_tokens(self) -> float:
        """Return the tokens that are not lent, as of the last settling."""
        return self._bucket.tokens

    def settle(self, now: float) -> None:
        """Take back what has ended and drop what was borrowed and has ended."""
        for ends_at in self.borrowed.list_ends(now):
            self._bucket.refill(ends_at)
            self.borrowed.drop_ended(ends_at)
            self._resize(ends_at)
        if self._raise is not None and now >= self._raise[0]:
            self._own = self._raise[1]
            self._raise = None
        for borrower, loan in list(self._loans.items()):
            loan.grants = [grant for grant in loan.grants if grant.ends_at > now]
            if not loan.grants:
                del self._loans[borrower]
        self._singles = [grant for grant in self._singles if grant.ends_at > now]
        self.borrowed.use_smaller(self._fits, now + ENTRY_LOAN_KEPT_S)
        self._resize(now)

    def answer(
        self, now: float, borrower: BorrowerId, number: int, ask: LoanAsk
    ) -> LoanGrant | None:
        """Grant what the policy offers; None for a request that came late."""
        self.settle(now)
        loan = self._loans.setdefault(borrower, _Loan(borrower.kind))
        if number <= loan.last_request:
            return None
        loan.last_request = number
        loan.demand = max(0.0, ask.demand)
        self._confirm(now, loan, ask)
        entry = borrower.kind is BorrowerKind.ENTRY
        ends_at = now + (ENTRY_LOAN_KEPT_S if entry else DOMAIN_LOAN_KEPT_S)
        offer = self._offer(loan, ask, ends_at)
        grant = self._grant(now, loan, ask, offer, ends_at)
        if entry and ask.wanted > ask.capacity:
            self.unmet_tokens += max(0.0, ask.wanted - grant.tokens)
        return grant

    def answer_single(self, now: float, ask: LoanAsk) -> LoanGrant:
        """Grant one token for one call, or none; it is out for a short time."""
        self.settle(now)
        self._last_number += 1
        tokens = 1.0 if self._bucket.take(now) else 0.0
        if tokens:
            number = self._last_number
            ends_at = now + SINGLE_LOAN_KEPT_S
            grant = _Grant(number, 0.0, tokens, tokens, ends_at)
            self._singles.append(grant)
            self._resize(now)
        else:
            self.unmet_tokens += 1.0
        return LoanGrant(ask.organisation, self._last_number, 0.0, tokens, tokens)

    def _confirm(self, now: float, loan: _Loan, ask: LoanAsk) -> None:
        """Take back every grant but the one in use, and the tokens returned."""
        used = [grant for grant in loan.grants if grant.number == ask.applied]
        loan.grants = used
        returned = 0.0
        for grant in used:
            capacity = max(0.0, min(grant.capacity, ask.capacity))
            returned = max(0.0, min(ask.returned, grant.capacity - capacity))
            grant.capacity = grant.reserved = capacity
        self._resize(now)
        self._bucket.add(now, returned)

    def _offer(self, loan: _Loan, ask: LoanAsk, ends_at: float) -> Offer:
        """Ask the policy, within what no other borrower may be using."""
        own_only = loan.kind is BorrowerKind.DOMAIN
        supply = self._own if own_only else self._find_grantable(ends_at)
        others = [other for other in self._loans.values() if other is not loan]
        entries = [other.demand for other in others if other.kind is BorrowerKind.ENTRY]
        pool = Pool(
            rate=supply.rate,
            capacity=supply.capacity,
            free_rate=max(0.0, supply.rate - sum(other.rate for other in others)),
            free_capacity=max(
                0.0, supply.capacity - self._sum_reserved() + loan.reserved
            ),
            tokens=self._bucket.tokens,
            entry_demands=tuple(entries),
        )
        return offer_to_domain(pool, ask) if own_only else offer_to_entry(pool, ask)

    def _grant(
        self, now: float, loan: _Loan, ask: LoanAsk, offer: Offer, ends_at: float
    ) -> LoanGrant:
        """Record what is lent, then take its tokens out of the own bucket."""
        in_use = loan.reserved
        room = max(0.0, offer.free_capacity - in_use)
        tokens = self._bucket.take_up_to(now, min(offer.tokens, room))
        reserved = max(offer.capacity, in_use + tokens)
        self._last_number += 1
        loan.grants.append(
            _Grant(self._last_number, offer.rate, offer.capacity, reserved, ends_at)
        )
        self._resize(now)
        return LoanGrant(
            ask.organisation, self._last_number, offer.rate, offer.capacity, tokens
        )

    def _sum_reserved(self) -> float:
        """Return the capacity of all that is lent."""
        reserved = sum(loan.reserved for loan in self._loans.values())
        return reserved + sum(grant.reserved for grant in self._singles)

    def _fits(self, borrowed: Allowance) -> bool:
        """Return whether all that is lent fits into the share and `borrowed`."""
        loans = self._loans.values()
        rate = self._own.rate + borrowed.rate
        capacity = self._own.capacity + borrowed.capacity
        return (
            sum(loan.rate for loan in loans) <= rate
            and self._sum_reserved() <= capacity
        )

    def _find_grantable(self, until: float) -> Allowance:
        """Return the share and what is borrowed at least until then."""
        borrowed = self.borrowed.find_smallest_total(until)
        rate = self._own.rate + borrowed.rate
        return Allowance(rate, self._own.capacity + borrowed.capacity)

    def _resize(self, now: float) -> None:
        """Lower the own bucket by all that is lent."""
        borrowed = self.borrowed.find_total(now)
        rate = self._own.rate + borrowed.rate
        rate -= sum(loan.rate for loan in self._loans.values())
        capacity = self._own.capacity + borrowed.capacity
        capacity -= self._sum_reserved()
        self._bucket.resize(now, max(0.0, rate), max(0.0, capacity))
