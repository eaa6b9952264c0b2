"""Charge calls at the steward where this entry has nothing to charge them to."""

import threading

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    SINGLE_CHARGES,
    SINGLE_LOAN_S,
    SINGLE_RETRY_S,
    SINGLE_TIMEOUT_S,
)
from corianderhold.coordination.rate.limiter import AllowanceLimiter
from corianderhold.coordination.rate.messenger import LoanMessenger
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.protocol.rate.model import LoanAsk
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run


class StewardCharger:
    """
    Charge warm organisations here and all others with one request to the steward.

    An organisation is cold at an entry that has just begun to receive its calls, and
    stays so while its burst is too small to be spread over the entries. Few requests
    are made at once, and none for a short time after the steward refused.
    """

    def __init__(
        self,
        limiter: AllowanceLimiter,
        messenger: LoanMessenger,
        domain: FailureDomainId,
        clock: Clock,
    ) -> None:
        self._limiter = limiter
        self._messenger = messenger
        self._domain = domain
        self._clock = clock
        self._slots = threading.BoundedSemaphore(SINGLE_CHARGES)
        self._refused_until: dict[OrganisationId, float] = {}

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request; waits for the steward only where it is cold."""
        charged = self._limiter.charge(organisation, now)
        if charged.is_ok() or self._limiter.is_warm(organisation, now):
            return charged
        if now < self._refused_until.get(organisation, 0.0):
            return Err(_refuse())
        if not self._slots.acquire(blocking=False):
            return Err(_refuse())
        try:
            admitted = self._charge_at_steward(organisation)
        finally:
            self._slots.release()
        if not admitted:
            until = self._clock.read_monotonic() + SINGLE_RETRY_S
            self._refused_until[organisation] = until
            return Err(_refuse())
        self._limiter.count_admitted(organisation)
        return Ok(None)

    def _charge_at_steward(self, organisation: OrganisationId) -> bool:
        """Ask for one token and use it before its end."""
        ask = LoanAsk(organisation, 0, 0.0, 0.0, 0.0, 1.0, single=True)
        shard = name_shard(self._domain, organisation)
        answer = self._messenger.send(self._domain, shard, (ask,), SINGLE_TIMEOUT_S)
        if answer is None:
            return False
        in_time = self._clock.read_monotonic() < answer.sent_at + SINGLE_LOAN_S
        return in_time and any(grant.tokens >= 1.0 for grant in answer.grants)


def _refuse() -> Refusal:
    """Build the refusal of a call that the steward has no token for."""
    return refuse_not_run(Reason.RATE_EXCEEDED, int(SINGLE_RETRY_S * 1000))
