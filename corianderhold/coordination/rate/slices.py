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
    """Tokens lent to or borrowed from a peer, and when they expire."""

    tokens: float
    ends_at: float


@dataclass
class _Slice:
    """
    The bucket of one organisation, and the tokens lent and borrowed.

    Lent tokens lower the capacity until the borrower can no longer use them, so that
    every token is in one bucket at a time.
    """

    bucket: TokenBucket
    limit: TimedLimit
    advanced_at: float
    lent: list[_TokenTransfer] = field(default_factory=list)
    borrowed: list[_TokenTransfer] = field(default_factory=list)

    @property
    def rate(self) -> float:
        """Return the rate in force at the last update."""
        return self.bucket.rate

    def read_capacity(self, now: float) -> float:
        """Return the capacity in force, including lent tokens."""
        return self.limit.read(now).capacity

    def advance(self, now: float) -> float:
        """Bring the slice to `now` and return the tokens available."""
        lowered_at = self.limit.lowered_at
        if self.advanced_at < lowered_at <= now:
            self._refill(lowered_at)
        self._refill(now)
        self.advanced_at = max(self.advanced_at, now)
        return self.bucket.tokens + sum(transfer.tokens for transfer in self.borrowed)

    def _refill(self, now: float) -> None:
        """Bring the slice to `now`; lent tokens free their capacity as they expire."""
        while self.lent and self.lent[0].ends_at <= now:
            self._resize(self.lent.pop(0).ends_at)
        if self.borrowed:
            self.borrowed = [each for each in self.borrowed if each.ends_at > now]
        self._resize(now)

    def _resize(self, at: float) -> None:
        """Refill up to `at`, then set the limit in force, less the lent tokens."""
        out = sum(transfer.tokens for transfer in self.lent)
        limit = self.limit.read(at)
        self.bucket.resize(at, limit.rate, max(0.0, limit.capacity - out))

    def take(self, now: float) -> None:
        """Remove one token, borrowed ones first; `advance` must have found enough."""
        missing = 1.0
        while missing > 0 and self.borrowed:
            transfer = self.borrowed.pop(0)
            if transfer.tokens > missing:
                left = transfer.tokens - missing
                self.borrowed.insert(0, _TokenTransfer(left, transfer.ends_at))
            missing -= min(missing, transfer.tokens)
        self.bucket.take_up_to(now, missing)


class SliceTable:
    """
    Hold the slices of all organisations; thread-safe.

    `settled` is False while the division is not known and the slices are empty.
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
        """Replace the limit and add `tokens`; a new slice starts empty."""
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
        """Remove organisations that are not in `kept`."""
        with self._lock:
            for organisation in self._slices.keys() - kept.keys():
                del self._slices[organisation]

    def take(self, organisation: OrganisationId, now: float) -> float:
        """Remove one token and return 0, or return the missing fraction of a token."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 1.0
            at_hand = held.advance(now)
            if at_hand < 1.0:
                return 1.0 - at_hand
            held.take(now)
            return 0.0

    def estimate_wait_s(self, organisation: OrganisationId) -> float:
        """Return the seconds until the slice has a token, infinite if it never does."""
        with self._lock:
            held = self._slices.get(organisation)
            return held.bucket.estimate_wait_s() if held else float("inf")

    def find_token_interval_s(self, organisation: OrganisationId) -> float:
        """Return the seconds in which the slice accrues a token, 0 if it never does."""
        with self._lock:
            held = self._slices.get(organisation)
            return 1.0 / held.rate if held and held.rate > 0 else 0.0

    def lend(self, organisation: OrganisationId, wanted: float, now: float) -> float:
        """Remove up to `wanted` tokens for a peer; a large slice keeps a reserve."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 0.0
            held.advance(now)
            spare, capacity = held.bucket.tokens, held.read_capacity(now)
            if capacity * SLICE_RESERVE_FRACTION >= 1.0:
                spare -= capacity * SLICE_RESERVE_FRACTION
            if capacity >= 1.0:
                # Fractions of a token that don't add up before they expire are lost.
                wanted, spare = math.ceil(wanted), math.floor(spare)
            tokens = held.bucket.take_up_to(now, max(0.0, min(wanted, spare)))
            if tokens > 0:
                held.lent.append(_TokenTransfer(tokens, now + TRANSFER_RESERVED_S))
            return tokens

    def add_borrowed(
        self, organisation: OrganisationId, tokens: float, ends_at: float
    ) -> None:
        """Add tokens lent by a peer until they expire."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is not None and tokens > 0:
                held.borrowed.append(_TokenTransfer(tokens, ends_at))


class SliceAllocator:
    """
    Set this entry's slices from the configuration and the division.

    `slack` is added to the burst of every organisation, in requests. `overage` is a
    fraction of the rate, of which OVERAGE_USED_FRACTION is added to it. The first
    slices hold what accrued since the process started, because the previous process had
    ended by then; organisations of later versions start empty.

    A lowered rate or burst is in force no later than `lowering_delay_s` after the last
    time at which its version is known not to have been accepted, or at once if that
    time has passed.
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
        """Apply the configuration in force and subscribe to changes."""
        self._configuration.add_listener(self.apply)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def refresh(self) -> None:
        """Recompute the slices if the division changed."""
        with self._lock:
            if self._division.refresh():
                self._update_slices()

    def _run(self) -> None:
        """Refresh periodically."""
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
        # Tokens that peers lent before the change stay usable for TRANSFER_USABLE_S.
        delay_s = self._lowering_delay_s - TRANSFER_USABLE_S
        lowered_at = self._configuration.verified_at + delay_s
        limits = {}
        for name, organisation in configuration.organisations.items():
            rate = organisation.rate * self._rate_factor
            target = Limit(rate, organisation.burst + self._slack)
            held = self._limits.get(name, create_immediate_limit(target))
            limits[name] = held.change_to(target, now, lowered_at)
        self._limits = limits
        self._organisations = configuration.organisations

    def _update_slices(self) -> None:
        """Compute and set the slice of every organisation."""
        now = self._clock.read_monotonic()
        self._table.remove_except(self._organisations)
        accrued_s = 0.0 if self._initialized else now - self._started_at
        for name, organisation in self._organisations.items():
            part = self._division.compute_fraction(organisation)
            limit = self._limits[name].scale(part)
            accrued = limit.read(now).rate * accrued_s
            self._table.set_slice(name, limit, now, accrued)
        self._table.settled = settled = self._division.is_settled()
        self._initialized = self._initialized or (settled and bool(self._organisations))
