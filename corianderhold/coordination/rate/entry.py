"""Borrow rate and tokens from the stewards for the requests of this entry."""

import math
import threading
from collections import defaultdict
from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    DEMAND_WINDOW_S,
    ENTRY_LOAN_S,
    IDLE_DEMAND_PER_S,
    LOAN_TIMEOUT_S,
    RENEWAL_CHECK_INTERVAL_S,
    SIGNIFICANT_DEVIATIONS,
)
from corianderhold.coordination.rate.limiter import Allowance, AllowanceLimiter, Usage
from corianderhold.coordination.rate.renewal_schedule import RenewalSchedule
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.log import log_warning
from corianderhold.protocol.rate.model import LoanAsk, LoanGrant
from corianderhold.state.lease.model import ShardId


@dataclass
class _Loan:
    """The loan of one organisation, and the demand that it is based on."""

    number: int = 0
    ends_at: float = 0.0
    demand: float = 0.0
    idle: bool = True


class EntryLoans:
    """
    Renew this entry's loans in a background thread.

    A charge never waits for a renewal: it uses the allowances set by the last one.
    """

    def __init__(
        self,
        limiter: AllowanceLimiter,
        client: StewardClient,
        domain: FailureDomainId,
        clock: Clock,
    ) -> None:
        self._limiter = limiter
        self._client = client
        self._domain = domain
        self._clock = clock
        self._loans: dict[OrganisationId, _Loan] = {}
        self._schedule = RenewalSchedule(clock.read_monotonic())
        self._read_at = clock.read_monotonic()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="loans", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the loans expire by themselves."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(2 * LOAN_TIMEOUT_S)

    def _run(self) -> None:
        """Renew periodically, and earlier while an organisation is short of tokens."""
        while not self._stopping.wait(RENEWAL_CHECK_INTERVAL_S):
            try:
                self.renew_if_due()
            except Exception as error:  # noqa: BLE001
                log_warning("loan_renewal_failed", error=repr(error))

    def renew_if_due(self) -> None:
        """Renew the loans if the schedule allows it."""
        now = self._clock.read_monotonic()
        if self._schedule.try_start_renewal(now, self._limiter.shortage.is_set()):
            self.renew()

    def renew(self) -> None:
        """Send one request to each steward, for all its organisations with demand."""
        asks = self._collect_asks()
        for shard, shard_asks in asks.items():
            self._request(shard, shard_asks)

    def _collect_asks(self) -> dict[ShardId, list[LoanAsk]]:
        """Read the usage and build the loan requests, grouped by shard."""
        now = self._clock.read_monotonic()
        elapsed = max(now - self._read_at, 1e-3)
        self._read_at = now
        asks: dict[ShardId, list[LoanAsk]] = defaultdict(list)
        for organisation, usage in self._limiter.read_usage(now).items():
            loan = self._loans.setdefault(organisation, _Loan())
            _update_demand(loan, usage, elapsed)
            shard = name_shard(self._domain, organisation)
            asks[shard].append(self._build_ask(organisation, loan, usage, now))
        return asks

    def _build_ask(
        self, organisation: OrganisationId, loan: _Loan, usage: Usage, now: float
    ) -> LoanAsk:
        """Request what the demand needs, or return the loan when there is none."""
        applied = loan.number if now < loan.ends_at else 0
        if loan.demand < IDLE_DEMAND_PER_S:
            returned = self._limiter.release(organisation, now)
            del self._loans[organisation]
            return LoanAsk(organisation, applied, 0.0, returned, 0.0, 0.0)
        missing = max(0.0, usage.capacity - usage.tokens)
        wanted = max(missing, float(usage.refused))
        return LoanAsk(organisation, applied, usage.capacity, 0.0, loan.demand, wanted)

    def _request(self, shard: ShardId, asks: list[LoanAsk]) -> None:
        """Send one request and apply the grants; they expire relative to its start."""
        response = self._client.send(self._domain, shard, tuple(asks))
        if response is None:
            return
        for grant in response.grants:
            self._apply(grant, response.sent_at + ENTRY_LOAN_S)

    def _apply(self, grant: LoanGrant, ends_at: float) -> None:
        """Replace the allowance by a grant, unless the grant has expired."""
        loan = self._loans.get(grant.organisation)
        now = self._clock.read_monotonic()
        if loan is None or now >= ends_at:
            return
        loan.number = grant.number
        loan.ends_at = ends_at
        allowance = Allowance(grant.rate, grant.capacity, ends_at)
        self._limiter.set_allowance(grant.organisation, allowance, now, grant.tokens)


def _update_demand(loan: _Loan, usage: Usage, elapsed: float) -> None:
    """Average over DEMAND_WINDOW_S, but follow a significant change at once."""
    kept = math.exp(-elapsed / DEMAND_WINDOW_S)
    count = usage.admitted + usage.refused
    average = loan.demand * kept + count / elapsed * (1.0 - kept)
    spread = SIGNIFICANT_DEVIATIONS * math.sqrt(count)
    lowest = (count - spread) / elapsed
    highest = (count + spread + SIGNIFICANT_DEVIATIONS) / elapsed
    loan.demand = min(max(average, lowest), highest)
