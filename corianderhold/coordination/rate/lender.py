"""Lend one organisation's rate and burst without counting a token twice."""

from dataclasses import dataclass, field
from enum import Enum

from corianderhold.coordination.rate.borrowed import (
    BorrowedAllowances,
    NumberedAllowance,
)
from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    DOMAIN_LOAN_RESERVED_S,
    ENTRY_LOAN_RESERVED_S,
    SHARE_INCREASE_DELAY_S,
    SINGLE_LOAN_RESERVED_S,
)
from corianderhold.coordination.rate.limiter import Allowance
from corianderhold.coordination.rate.policy import (
    Offer,
    Pool,
    compute_required_rate,
    offer_to_domain,
    offer_to_entry,
)
from corianderhold.ids import FailureDomainId, Incarnation, InstanceId
from corianderhold.protocol.rate.model import LoanAsk, LoanGrant


class BorrowerKind(Enum):
    """Whether an entry of this domain or the steward of another domain borrows."""

    ENTRY = "entry"
    DOMAIN = "domain"


@dataclass(frozen=True)
class BorrowerId:
    """One incarnation of one borrower."""

    kind: BorrowerKind
    instance: InstanceId
    incarnation: Incarnation


@dataclass
class _Grant:
    """A grant that may be in use; `reserved` covers its capacity and tokens."""

    number: int
    rate: float
    capacity: float
    reserved: float
    ends_at: float


@dataclass
class _Loan:
    """All grants that one borrower may be using, and its last request number."""

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

    At any time, the local bucket and all grants that borrowers may be using add up to
    at most the domain's share plus the borrowed allowances. Times are in monotonic
    seconds. Grants are numbered from `last_number` + 1. `unmet_tokens` counts the
    tokens that entries requested but did not get; the caller that borrows them resets
    it.
    """

    def __init__(self, now: float, last_number: int = 0) -> None:
        self._share = Allowance(0.0, 0.0)
        self._pending_increase: tuple[float, Allowance] | None = None
        self.borrowed = BorrowedAllowances()
        self._loans: dict[BorrowerId, _Loan] = {}
        self._singles: list[_Grant] = []
        self._bucket = TokenBucket(0.0, 0.0, now)
        self._last_number = last_number
        self.unmet_tokens = 0.0

    def set_share(self, now: float, rate: float, capacity: float) -> None:
        """Change the share; an increase takes effect after SHARE_INCREASE_DELAY_S."""
        self.advance(now)
        wanted = Allowance(rate, capacity)
        if wanted in (
            self._share,
            self._pending_increase[1] if self._pending_increase else None,
        ):
            return
        if self._share == Allowance(0.0, 0.0):
            self._share = wanted
        else:
            lowered = min(rate, self._share.rate), min(capacity, self._share.capacity)
            self._share = Allowance(*lowered)
            self._pending_increase = (now + SHARE_INCREASE_DELAY_S, wanted)
        self._resize(now)

    def accept_borrowed(
        self, now: float, domain: FailureDomainId, grant: LoanGrant, ends_at: float
    ) -> None:
        """Add a grant of another domain and its tokens, unless it expires soon."""
        self.advance(now)
        if ends_at <= now + ENTRY_LOAN_RESERVED_S:
            return
        allowance = Allowance(grant.rate, grant.capacity, ends_at)
        self.borrowed.accept(domain, NumberedAllowance(grant.number, allowance))
        self.advance(now)
        self._bucket.add(now, grant.tokens)

    def sum_required_rates(self) -> float:
        """Return the rate that local entries need, in requests per second."""
        loans = self._loans.values()
        demands = (x.demand for x in loans if x.kind is BorrowerKind.ENTRY)
        return sum(compute_required_rate(demand) for demand in demands)

    def read_share(self) -> Allowance:
        """Return the domain's share."""
        return self._share

    def read_tokens(self) -> float:
        """Return the tokens that are not lent, as of the last update."""
        return self._bucket.tokens

    def advance(self, now: float) -> None:
        """Expire grants and apply a due increase of the share, as of `now`."""
        for ends_at in self.borrowed.list_ends(now):
            self._bucket.refill(ends_at)
            self.borrowed.drop_ended(ends_at)
            self._resize(ends_at)
        if self._pending_increase is not None and now >= self._pending_increase[0]:
            self._share = self._pending_increase[1]
            self._pending_increase = None
        for borrower, loan in list(self._loans.items()):
            loan.grants = [grant for grant in loan.grants if grant.ends_at > now]
            if not loan.grants:
                del self._loans[borrower]
        self._singles = [grant for grant in self._singles if grant.ends_at > now]
        self.borrowed.apply_smaller_grants(self._fits, now + ENTRY_LOAN_RESERVED_S)
        self._resize(now)

    def grant_loan(
        self, now: float, borrower: BorrowerId, number: int, ask: LoanAsk
    ) -> LoanGrant | None:
        """Grant what the policy offers; return None for an outdated request."""
        self.advance(now)
        loan = self._loans.setdefault(borrower, _Loan(borrower.kind))
        if number <= loan.last_request:
            return None
        loan.last_request = number
        loan.demand = max(0.0, ask.demand)
        self._confirm(now, loan, ask)
        entry = borrower.kind is BorrowerKind.ENTRY
        ends_at = now + (ENTRY_LOAN_RESERVED_S if entry else DOMAIN_LOAN_RESERVED_S)
        offer = self._offer(loan, ask, ends_at)
        grant = self._grant(now, loan, ask, offer, ends_at)
        if entry and ask.wanted > ask.capacity:
            self.unmet_tokens += max(0.0, ask.wanted - grant.tokens)
        return grant

    def grant_single_token(self, now: float, ask: LoanAsk) -> LoanGrant:
        """Grant one token for one call if there is one; it is reserved briefly."""
        self.advance(now)
        self._last_number += 1
        tokens = 1.0 if self._bucket.take(now) else 0.0
        if tokens:
            number = self._last_number
            ends_at = now + SINGLE_LOAN_RESERVED_S
            grant = _Grant(number, 0.0, tokens, tokens, ends_at)
            self._singles.append(grant)
            self._resize(now)
        else:
            self.unmet_tokens += 1.0
        return LoanGrant(ask.organisation, self._last_number, 0.0, tokens, tokens)

    def _confirm(self, now: float, loan: _Loan, ask: LoanAsk) -> None:
        """Release all grants except the one in use, and take back returned tokens."""
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
        """Ask the policy for an offer within what no other borrower may be using."""
        own_only = loan.kind is BorrowerKind.DOMAIN
        supply = self._share if own_only else self._find_grantable(ends_at)
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
        """Take the tokens out of the bucket and record the grant."""
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
        """Return the capacity reserved by all grants."""
        reserved = sum(loan.reserved for loan in self._loans.values())
        return reserved + sum(grant.reserved for grant in self._singles)

    def _fits(self, borrowed: Allowance) -> bool:
        """Return whether all grants fit into the share plus `borrowed`."""
        loans = self._loans.values()
        rate = self._share.rate + borrowed.rate
        capacity = self._share.capacity + borrowed.capacity
        return (
            sum(loan.rate for loan in loans) <= rate
            and self._sum_reserved() <= capacity
        )

    def _find_grantable(self, until: float) -> Allowance:
        """Return the share plus the allowances borrowed at least until `until`."""
        borrowed = self.borrowed.find_guaranteed_total(until)
        rate = self._share.rate + borrowed.rate
        return Allowance(rate, self._share.capacity + borrowed.capacity)

    def _resize(self, now: float) -> None:
        """Set the bucket to the share and borrowed allowances, less all grants."""
        borrowed = self.borrowed.find_total(now)
        rate = self._share.rate + borrowed.rate
        rate -= sum(loan.rate for loan in self._loans.values())
        capacity = self._share.capacity + borrowed.capacity
        capacity -= self._sum_reserved()
        self._bucket.resize(now, max(0.0, rate), max(0.0, capacity))
