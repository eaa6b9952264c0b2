"""Charge calls at the steward where this entry has nothing to charge them to."""

import threading
from dataclasses import dataclass

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    SINGLE_CHARGES,
    SINGLE_LOAN_S,
    SINGLE_RETRY_MAX_S,
    SINGLE_RETRY_S,
    SINGLE_TIMEOUT_S,
)
from corianderhold.coordination.rate.limiter import AllowanceLimiter
from corianderhold.coordination.rate.messenger import LoanMessenger
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.protocol.rate.model import LoanAsk
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run


@dataclass(frozen=True)
class _Pause:
    """No request for an organisation until then; the pause grows with refusals."""

    until: float
    length_s: float


class StewardCharger:
    """
    Charge here, and with one request to the steward where nothing is left here.

    An organisation has nothing left at an entry that has just begun to receive its
    calls, in a burst, and while its burst is too small to be spread over the entries.
    Few requests are made at once, and none for a time after the steward refused.
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
        self._pauses: dict[OrganisationId, _Pause] = {}

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request; waits for the steward only where it saves a refusal."""
        charged = self._limiter.charge(organisation, now)
        if charged.is_ok():
            return charged
        pause = self._pauses.get(organisation)
        if pause is not None and now < pause.until:
            return Err(_refuse(pause.until - now))
        if not self._slots.acquire(blocking=False):
            return Err(_refuse(SINGLE_RETRY_S))
        try:
            admitted = self._charge_at_steward(organisation)
        finally:
            self._slots.release()
        if not admitted:
            return Err(_refuse(self._lengthen_pause(organisation, pause)))
        self._pauses.pop(organisation, None)
        self._limiter.count_admitted(organisation)
        return Ok(None)

    def _lengthen_pause(
        self, organisation: OrganisationId, pause: _Pause | None
    ) -> float:
        """Make no request for a time that doubles, and return it in seconds."""
        length_s = SINGLE_RETRY_S
        if pause is not None:
            length_s = min(2 * pause.length_s, SINGLE_RETRY_MAX_S)
        until = self._clock.read_monotonic() + length_s
        self._pauses[organisation] = _Pause(until, length_s)
        return length_s

    def _charge_at_steward(self, organisation: OrganisationId) -> bool:
        """Ask for one token and use it before its end."""
        ask = LoanAsk(organisation, 0, 0.0, 0.0, 0.0, 1.0, single=True)
        shard = name_shard(self._domain, organisation)
        answer = self._messenger.send(self._domain, shard, (ask,), SINGLE_TIMEOUT_S)
        if answer is None:
            return False
        in_time = self._clock.read_monotonic() < answer.sent_at + SINGLE_LOAN_S
        return in_time and any(grant.tokens >= 1.0 for grant in answer.grants)


def _refuse(wait_s: float) -> Refusal:
    """Build the refusal of a call that the steward has no token for."""
    return refuse_not_run(Reason.RATE_EXCEEDED, int(wait_s * 1000) + 1)
