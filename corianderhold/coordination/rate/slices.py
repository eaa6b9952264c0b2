"""Maintain this entry's slice of every organisation's rate and burst."""

import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from corianderhold.clock import Clock
from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    OVERAGE_USED_FRACTION,
    SLICE_REFRESH_INTERVAL_S,
    SLICE_RESERVE_FRACTION,
    TRANSFER_RESERVED_S,
    TRANSFER_USABLE_S,
)
from corianderhold.coordination.rate.division import Division
from corianderhold.coordination.rate.limits import (
    Limit,
    TimedLimit,
    create_immediate_limit,
)
from corianderhold.ids import OrganisationId
from corianderhold.log import log_warning
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation


@dataclass(frozen=True)
class _TokenTransfer:
    """
    Tokens lent to or borrowed from a peer.

    Borrowed tokens expire at `ends_at`. Lent ones lower the lender's capacity until
    `ends_at`, when the borrower's have expired.
    """

    tokens: float
    ends_at: float


@dataclass
class _Slice:
    """
    The entry's token bucket for one organisation, and the tokens lent and borrowed.

    Lent tokens lower the capacity of the bucket until the borrower can no longer use
    them. Otherwise the bucket could accrue them again while the borrower holds them.
    """

    bucket: TokenBucket
    limit: TimedLimit
    advanced_at: float
    lent: list[_TokenTransfer] = field(default_factory=list)
    borrowed: list[_TokenTransfer] = field(default_factory=list)

    @property
    def rate(self) -> float:
        """Return the rate as of the last refill, in tokens per second."""
        return self.bucket.rate

    def read_capacity(self, now: float) -> float:
        """Return the capacity in force, before lent tokens are deducted."""
        return self.limit.read(now).capacity

    def advance(self, now: float) -> float:
        """
        Refill up to `now` and return the tokens available, with the borrowed ones.

        A decrease of the limit that came due on the way takes effect at its own time.
        """
        lowered_at = self.limit.lowered_at
        if self.advanced_at < lowered_at <= now:
            self._refill(lowered_at)
        self._refill(now)
        self.advanced_at = max(self.advanced_at, now)
        return self.bucket.tokens + sum(transfer.tokens for transfer in self.borrowed)

    def _refill(self, now: float) -> None:
        """Refill up to `now`; restore the capacity of lent tokens as they expire."""
        while self.lent and self.lent[0].ends_at <= now:
            self._resize(self.lent.pop(0).ends_at)
        if self.borrowed:
            self.borrowed = [each for each in self.borrowed if each.ends_at > now]
        self._resize(now)

    def _resize(self, at: float) -> None:
        """Refill up to `at`; set the limit in force then, less the lent tokens."""
        lent_tokens = sum(transfer.tokens for transfer in self.lent)
        limit = self.limit.read(at)
        self.bucket.resize(at, limit.rate, max(0.0, limit.capacity - lent_tokens))

    def take(self, now: float) -> None:
        """Remove one token, borrowed ones first; `advance` must have returned >= 1."""
        missing = 1.0
        while missing > 0 and self.borrowed:
            transfer = self.borrowed.pop(0)
            if transfer.tokens > missing:
                remaining = transfer.tokens - missing
                self.borrowed.insert(0, _TokenTransfer(remaining, transfer.ends_at))
            missing -= min(missing, transfer.tokens)
        self.bucket.take_up_to(now, missing)


class SliceTable:
    """
    Hold the slices of all organisations; thread-safe.

    `settled` is False while this entry's fractions are not known; until then the slices
    are empty.
    """

    def __init__(self) -> None:
        self.settled = False
        self._lock = threading.Lock()
        self._slices: dict[OrganisationId, _Slice] = {}

    def set_slice(
        self,
        organisation: OrganisationId,
        limit: TimedLimit,
        now: float,
        tokens: float = 0.0,
    ) -> None:
        """Replace the limit and add `tokens`; a new slice starts with these only."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                held = _Slice(TokenBucket(0.0, 0.0, now), limit, now)
                self._slices[organisation] = held
            held.advance(now)
            held.limit = limit
            held.advance(now)
            held.bucket.add(now, tokens)

    def remove_except(self, kept: Mapping[OrganisationId, object]) -> None:
        """Remove the slices of organisations that are not in `kept`."""
        with self._lock:
            for organisation in self._slices.keys() - kept.keys():
                del self._slices[organisation]

    def take(self, organisation: OrganisationId, now: float) -> float:
        """Remove one token and return 0, or return the missing fraction of a token."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 1.0
            available = held.advance(now)
            if available < 1.0:
                return 1.0 - available
            held.take(now)
            return 0.0

    def estimate_wait_s(self, organisation: OrganisationId) -> float:
        """Return the seconds until the bucket has a token, infinite if it never has."""
        with self._lock:
            held = self._slices.get(organisation)
            return held.bucket.estimate_wait_s() if held else float("inf")

    def find_token_interval_s(self, organisation: OrganisationId) -> float:
        """Return the seconds in which the slice accrues a token, 0 if it never does."""
        with self._lock:
            held = self._slices.get(organisation)
            return 1.0 / held.rate if held and held.rate > 0 else 0.0

    def lend(self, organisation: OrganisationId, wanted: float, now: float) -> float:
        """
        Remove up to `wanted` tokens for a peer; return the number removed.

        SLICE_RESERVE_FRACTION of the capacity is kept if it amounts to a token.
        """
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 0.0
            held.advance(now)
            spare, capacity = held.bucket.tokens, held.read_capacity(now)
            if capacity * SLICE_RESERVE_FRACTION >= 1.0:
                spare -= capacity * SLICE_RESERVE_FRACTION
            if capacity >= 1.0:
                # Lend whole tokens: fractions are lost if they expire before they add
                # up to a token. A capacity below 1 has only fractions to lend.
                wanted, spare = math.ceil(wanted), math.floor(spare)
            tokens = held.bucket.take_up_to(now, max(0.0, min(wanted, spare)))
            if tokens > 0:
                held.lent.append(_TokenTransfer(tokens, now + TRANSFER_RESERVED_S))
            return tokens

    def add_borrowed(
        self, organisation: OrganisationId, tokens: float, ends_at: float
    ) -> None:
        """Add tokens lent by a peer, usable until `ends_at`."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is not None and tokens > 0:
                held.borrowed.append(_TokenTransfer(tokens, ends_at))


class SliceAllocator:
    """
    Set this entry's slices from the configuration and the division.

    `slack` is added to the burst of every organisation, in requests. `overage` is a
    fraction of the rate; OVERAGE_USED_FRACTION of it is added to the rate, the rest
    covers daemons that count different members.

    The first slices hold the tokens accrued since this process started: the previous
    process had ended by then, so no token is granted twice. Slices of organisations
    that a later configuration adds start empty.

    A decrease of a rate or burst takes effect within `lowering_delay_s` of the last
    time at which its configuration version was known not to be accepted yet, or at once
    if that delay has passed.
    """

    def __init__(
        self,
        table: SliceTable,
        configuration: ConfigurationHolder,
        division: Division,
        clock: Clock,
        slack: float = 0.0,
        lowering_delay_s: float = 0.0,
        overage: float = 0.0,
    ) -> None:
        self._table = table
        self._configuration = configuration
        self._division = division
        self._clock = clock
        self._slack = slack
        self._lowering_delay_s = lowering_delay_s
        self._rate_factor = 1.0 + OVERAGE_USED_FRACTION * overage
        self._organisations: Mapping[OrganisationId, Organisation] = {}
        self._limits: dict[OrganisationId, TimedLimit] = {}
        self._started_at = clock.read_monotonic()
        self._lock = threading.Lock()
        self._initialized = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="slices", daemon=True)

    def start(self) -> None:
        """Apply the configuration in force, follow its changes and start the thread."""
        self._configuration.add_listener(self.apply)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def refresh(self) -> None:
        """Update the slices if the division changed."""
        with self._lock:
            if self._division.refresh():
                self._update_slices()

    def _run(self) -> None:
        """Refresh every SLICE_REFRESH_INTERVAL_S."""
        while not self._stopping.wait(SLICE_REFRESH_INTERVAL_S):
            try:
                self.refresh()
            except Exception as error:  # noqa: BLE001
                log_warning("slice_refresh_failed", error=repr(error))

    def apply(self, configuration: Configuration) -> None:
        """Apply a configuration that has come into force."""
        with self._lock:
            self._division.refresh()
            self._update_limits(configuration)
            self._update_slices()

    def _update_limits(self, configuration: Configuration) -> None:
        """Update each organisation's limit for the whole fleet."""
        now = self._clock.read_monotonic()
        # Lower the limit earlier by TRANSFER_USABLE_S: tokens that peers lent before
        # the change stay usable that long.
        delay_s = self._lowering_delay_s - TRANSFER_USABLE_S
        lowered_at = self._configuration.verified_at + delay_s
        limits = {}
        for name, organisation in configuration.organisations.items():
            rate = organisation.rate * self._rate_factor
            fleet_limit = Limit(rate, organisation.burst + self._slack)
            previous = self._limits.get(name, create_immediate_limit(fleet_limit))
            limits[name] = previous.change_to(fleet_limit, now, lowered_at)
        self._limits = limits
        self._organisations = configuration.organisations

    def _update_slices(self) -> None:
        """Set the slice of every organisation to this entry's fraction of its limit."""
        now = self._clock.read_monotonic()
        self._table.remove_except(self._organisations)
        accrued_s = 0.0 if self._initialized else now - self._started_at
        for name, organisation in self._organisations.items():
            fraction = self._division.compute_fraction(organisation)
            limit = self._limits[name].scale(fraction)
            accrued = limit.read(now).rate * accrued_s
            self._table.set_slice(name, limit, now, accrued)
        self._table.settled = settled = self._division.is_settled()
        self._initialized = self._initialized or (settled and bool(self._organisations))
