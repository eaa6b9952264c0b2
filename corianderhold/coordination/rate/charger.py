"""Charge calls at the steward when this entry has no tokens left."""

import threading
from dataclasses import dataclass

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    CHARGE_BACKOFF_MAX_S,
    CHARGE_BACKOFF_S,
    CONCURRENT_CHARGES_MAX,
    SINGLE_LOAN_S,
    SINGLE_TIMEOUT_S,
)
from corianderhold.coordination.rate.limiter import AllowanceLimiter
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.protocol.rate.model import LoanAsk
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run


@dataclass(frozen=True)
class _Backoff:
    """The time before which the steward is not asked; grows with each refusal."""

    until: float
    duration_s: float


class StewardCharger:
    """
    Charge the local allowance, or the steward when the allowance is used up.

    The allowance is empty at an entry that has just begun to receive an organisation's
    calls, during a burst, and while the burst is too small to be divided between the
    entries. Concurrent requests are bounded, and a refusal by the steward starts an
    exponential backoff.
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
        self._slots = threading.BoundedSemaphore(CONCURRENT_CHARGES_MAX)
        self._backoffs: dict[OrganisationId, _Backoff] = {}

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request; wait for the steward only if it would be refused here."""
        charged = self._limiter.charge(organisation, now)
        if charged.is_ok():
            return charged
        backoff = self._backoffs.get(organisation)
        if backoff is not None and now < backoff.until:
            return Err(_refuse(backoff.until - now))
        if not self._slots.acquire(blocking=False):
            return Err(_refuse(CHARGE_BACKOFF_S))
        try:
            admitted = self._charge_at_steward(organisation)
        finally:
            self._slots.release()
        if not admitted:
            return Err(_refuse(self._extend_backoff(organisation, backoff)))
        self._backoffs.pop(organisation, None)
        self._limiter.count_admitted(organisation)
        return Ok(None)

    def _extend_backoff(
        self, organisation: OrganisationId, backoff: _Backoff | None
    ) -> float:
        """Double the backoff of an organisation and return it in seconds."""
        duration_s = CHARGE_BACKOFF_S
        if backoff is not None:
            duration_s = min(2 * backoff.duration_s, CHARGE_BACKOFF_MAX_S)
        until = self._clock.read_monotonic() + duration_s
        self._backoffs[organisation] = _Backoff(until, duration_s)
        return duration_s

    def _charge_at_steward(self, organisation: OrganisationId) -> bool:
        """Request one token; return whether it came and has not expired."""
        ask = LoanAsk(organisation, 0, 0.0, 0.0, 0.0, 1.0, single=True)
        shard = name_shard(self._domain, organisation)
        response = self._client.send(self._domain, shard, (ask,), SINGLE_TIMEOUT_S)
        if response is None:
            return False
        in_time = self._clock.read_monotonic() < response.sent_at + SINGLE_LOAN_S
        return in_time and any(grant.tokens >= 1.0 for grant in response.grants)


def _refuse(wait_s: float) -> Refusal:
    """Refuse a call that the steward has no token for, to be retried in `wait_s`."""
    return refuse_not_run(Reason.RATE_EXCEEDED, int(wait_s * 1000) + 1)
