"""Limit the rate of each organisation's root requests at the entry."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    DEFAULT_RETRY_AFTER_MS,
    RETRY_AFTER_MAX_MS,
)
from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run


class RateLimiter(Protocol):
    """Decide whether a root request is within its organisation's rate."""

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request at monotonic time `now`; makes no network request."""


@dataclass(frozen=True)
class Allowance:
    """
    What one entry may admit for one organisation until `ends_at`.

    `rate` is in requests per second, `capacity` in requests. `ends_at` is in monotonic
    seconds, infinite for an allowance that is not a loan.
    """

    rate: float
    capacity: float
    ends_at: float = float("inf")


@dataclass(frozen=True)
class Usage:
    """The requests of one organisation since the last reading, and its tokens left."""

    admitted: int
    refused: int
    tokens: float
    capacity: float


@dataclass
class _Account:
    """The bucket of one organisation at this entry."""

    bucket: TokenBucket
    ends_at: float
    admitted: int = 0
    refused: int = 0

    def drop_ended(self, now: float) -> None:
        """Empty the bucket if the allowance has expired."""
        if now >= self.ends_at:
            self.bucket.resize(now, 0.0, 0.0)


class AllowanceLimiter:
    """
    Admit requests within the allowances that were set; thread-safe.

    `shortage` is set when an organisation is refused, until the usage is read.
    """

    def __init__(self) -> None:
        self.shortage = threading.Event()
        self._lock = threading.Lock()
        self._accounts: dict[OrganisationId, _Account] = {}

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request, or refuse with the time until the next token."""
        with self._lock:
            account = self._accounts.get(organisation)
            if account is None:
                account = _Account(TokenBucket(0.0, 0.0, now), now)
                self._accounts[organisation] = account
            if now < account.ends_at and account.bucket.take(now):
                account.admitted += 1
                return Ok(None)
            account.refused += 1
            self._mark_shortage()
            wait_s = account.bucket.estimate_wait_s()
        return Err(_refuse(wait_s))

    def count_admitted(self, organisation: OrganisationId) -> None:
        """Count a refused request as admitted, because the steward charged it."""
        with self._lock:
            account = self._accounts.get(organisation)
            if account is not None and account.refused > 0:
                account.refused -= 1
                account.admitted += 1

    def _mark_shortage(self) -> None:
        """Set the event; cheap when it is already set."""
        if not self.shortage.is_set():
            self.shortage.set()

    def set_allowance(
        self,
        organisation: OrganisationId,
        allowance: Allowance,
        now: float,
        tokens: float = 0.0,
    ) -> None:
        """Replace an allowance and add `tokens`; discard tokens that have expired."""
        with self._lock:
            account = self._accounts.get(organisation)
            if account is None:
                account = _Account(TokenBucket(0.0, 0.0, now), now)
                self._accounts[organisation] = account
            bucket = account.bucket
            account.drop_ended(now)
            bucket.resize(now, allowance.rate, allowance.capacity)
            bucket.add(now, tokens)
            account.ends_at = allowance.ends_at

    def remove_allowances_except(self, kept: Mapping[OrganisationId, object]) -> None:
        """Remove organisations that are not in `kept`."""
        with self._lock:
            for organisation in self._accounts.keys() - kept.keys():
                del self._accounts[organisation]

    def read_usage(self, now: float) -> dict[OrganisationId, Usage]:
        """Return each organisation's usage and reset its counters."""
        with self._lock:
            self.shortage.clear()
            usage = {}
            for organisation, account in self._accounts.items():
                account.drop_ended(now)
                account.bucket.refill(now)
                usage[organisation] = Usage(
                    account.admitted,
                    account.refused,
                    account.bucket.tokens,
                    account.bucket.capacity,
                )
                account.admitted = account.refused = 0
            return usage

    def release(self, organisation: OrganisationId, now: float) -> float:
        """Remove an allowance and return the tokens left."""
        with self._lock:
            account = self._accounts.pop(organisation, None)
            if account is None or now >= account.ends_at:
                return 0.0
            account.bucket.refill(now)
            return account.bucket.tokens


def _refuse(wait_s: float) -> Refusal:
    """Refuse a request whose bucket has the next token in `wait_s` seconds."""
    if wait_s == float("inf"):
        return refuse_not_run(Reason.RATE_EXCEEDED, DEFAULT_RETRY_AFTER_MS)
    retry_after_ms = min(RETRY_AFTER_MAX_MS, int(wait_s * 1000) + 1)
    return refuse_not_run(Reason.RATE_EXCEEDED, retry_after_ms)
