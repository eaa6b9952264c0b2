"""Schedule renewals: regular ones, and a bounded number of early ones."""

from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    EARLY_RENEW_INTERVAL_S,
    EARLY_RENEWAL_BURST,
    EARLY_RENEWALS_PER_S,
    RENEW_INTERVAL_S,
)


class RenewalSchedule:
    """
    Decide when a renewal is due; used by one thread.

    A token bucket limits early renewals, so that a lasting shortage costs few more
    messages than a steady demand.
    """

    def __init__(self, now: float) -> None:
        self._renewed_at = now
        self._early = TokenBucket(EARLY_RENEWALS_PER_S, EARLY_RENEWAL_BURST, now)
        self._early.add(now, EARLY_RENEWAL_BURST)

    def try_start_renewal(self, now: float, shortage: bool) -> bool:
        """Return whether to renew now, and record the renewal as done."""
        elapsed = now - self._renewed_at
        if elapsed < RENEW_INTERVAL_S:
            if not shortage or elapsed < EARLY_RENEW_INTERVAL_S:
                return False
            if not self._early.take(now):
                return False
        self._renewed_at = now
        return True
