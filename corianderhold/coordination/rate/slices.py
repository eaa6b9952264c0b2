"""Keep this entry's slice of every organisation's rate and burst."""

import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from corianderhold.clock import Clock
from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.const import (
    LENT_RESERVE,
    OVERAGE_USED,
    SLICE_REFRESH_INTERVAL_S,
    TRANSFER_KEPT_S,
    TRANSFER_USE_S,
)
from corianderhold.coordination.rate.division import Division
from corianderhold.coordination.rate.limits import Limit, TimedLimit, start_limit
from corianderhold.ids import OrganisationId
from corianderhold.log import log_warning
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation


@dataclass(frozen=True)
class _Parcel:
    """Tokens that went to or came from a peer, and when they end."""

    tokens: float
    ends_at: float


@dataclass
class _Slice:
    """
    The bucket of one organisation, and the tokens lent and borrowed.

    What is lent lowers the capacity until the borrower can't use it any more, so that
    every token lives in one bucket at a time.
    """

    bucket: TokenBucket
    limit: TimedLimit
    settled_at: float
    lent: list[_Parcel] = field(default_factory=list)
    borrowed: list[_Parcel] = field(default_factory=list)

    @property
    def rate(self) -> float:
        """Return the rate in force when the slice was settled."""
        return self.bucket.rate

    def read_capacity(self, now: float) -> float:
        """Return the capacity in force, with what is lent."""
        return self.limit.read(now).capacity

    def settle(self, now: float) -> float:
        """Drop what has ended and return the tokens at hand."""
        lowered_at = self.limit.lowered_at
        if self.settled_at < lowered_at <= now:
            self._settle(lowered_at)
        self._settle(now)
        self.settled_at = max(self.settled_at, now)
        return self.bucket.tokens + sum(parcel.tokens for parcel in self.borrowed)

    def _settle(self, now: float) -> None:
        """Bring the bucket to a time, with lent tokens back at their ends."""
        while self.lent and self.lent[0].ends_at <= now:
            self._resize(self.lent.pop(0).ends_at)
        if self.borrowed:
            self.borrowed = [each for each in self.borrowed if each.ends_at > now]
        self._resize(now)

    def _resize(self, at: float) -> None:
        """Refill up to a time, then hold what is in force, without what is lent."""
        out = sum(parcel.tokens for parcel in self.lent)
        limit = self.limit.read(at)
        self.bucket.resize(at, limit.rate, max(0.0, limit.capacity - out))

    def take(self, now: float) -> None:
        """Remove one token, the borrowed ones first; `settle` found enough."""
        missing = 1.0
        while missing > 0 and self.borrowed:
            parcel = self.borrowed.pop(0)
            if parcel.tokens > missing:
                left = parcel.tokens - missing
                self.borrowed.insert(0, _Parcel(left, parcel.ends_at))
            missing -= min(missing, parcel.tokens)
        self.bucket.take_up_to(now, missing)


class SliceTable:
    """
    Hold the slices of all organisations; thread-safe.

    `settled` says whether the slices are more than a first, empty division.
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
        """Replace the limit and add `tokens`; a new slice begins empty."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                held = _Slice(TokenBucket(0.0, 0.0, now), limit, now)
                self._slices[organisation] = held
            held.settle(now)
            held.limit = limit
            held.settle(now)
            held.bucket.add(now, tokens)

    def remove_except(self, kept: Mapping[OrganisationId, object]) -> None:
        """Forget organisations that are not among `kept`."""
        with self._lock:
            for organisation in self._slices.keys() - kept.keys():
                del self._slices[organisation]

    def take(self, organisation: OrganisationId, now: float) -> float:
        """Remove one token; return 0, or how much of a token is missing."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 1.0
            at_hand = held.settle(now)
            if at_hand < 1.0:
                return 1.0 - at_hand
            held.take(now)
            return 0.0

    def estimate_wait_s(self, organisation: OrganisationId) -> float:
        """Return seconds until the own slice has a token, infinite if it never has."""
        with self._lock:
            held = self._slices.get(organisation)
            return held.bucket.estimate_wait_s() if held else float("inf")

    def find_interval_s(self, organisation: OrganisationId) -> float:
        """Return seconds in which the own slice makes a token, 0 if it never does."""
        with self._lock:
            held = self._slices.get(organisation)
            return 1.0 / held.rate if held and held.rate > 0 else 0.0

    def lend(self, organisation: OrganisationId, wanted: float, now: float) -> float:
        """Remove up to `wanted` tokens for a peer; a large slice keeps a part."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is None:
                return 0.0
            held.settle(now)
            spare, capacity = held.bucket.tokens, held.read_capacity(now)
            if capacity * LENT_RESERVE >= 1.0:
                spare -= capacity * LENT_RESERVE
            if capacity >= 1.0:
                # Parts of a token that don't add up in time would be lost.
                wanted, spare = math.ceil(wanted), math.floor(spare)
            tokens = held.bucket.take_up_to(now, max(0.0, min(wanted, spare)))
            if tokens > 0:
                held.lent.append(_Parcel(tokens, now + TRANSFER_KEPT_S))
            return tokens

    def add_borrowed(
        self, organisation: OrganisationId, tokens: float, ends_at: float
    ) -> None:
        """Keep tokens that a peer lent until their end."""
        with self._lock:
            held = self._slices.get(organisation)
            if held is not None and tokens > 0:
                held.borrowed.append(_Parcel(tokens, ends_at))


class SliceAllocator:
    """
    Set this entry's slices from the configuration and the division.

    `slack` is added to the burst of every organisation, in requests, and the part
    OVERAGE_USED of `overage` to its rate, as a part of it. A slice accrues
    from the start of the process, when its predecessor had ended; organisations of
    later versions begin empty. A lowered rate or burst is in force, at the latest,
    `lowering_delay_s` after the last time at which its version is known not to have
    been accepted; where that has passed it is in force at once.
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
        self._rate_factor = 1.0 + OVERAGE_USED * overage
        self._organisations: Mapping[OrganisationId, Organisation] = {}
        self._limits: dict[OrganisationId, TimedLimit] = {}
        self._started_at = clock.read_monotonic()
        self._lock = threading.Lock()
        self._begun = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="slices", daemon=True)

    def start(self) -> None:
        """Follow the configuration, the one in force first."""
        self._configuration.add_listener(self.apply)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def refresh(self) -> None:
        """Divide again, where anything changed."""
        with self._lock:
            if self._division.refresh():
                self._divide()

    def _run(self) -> None:
        """Divide again at an interval."""
        while not self._stopping.wait(SLICE_REFRESH_INTERVAL_S):
            try:
                self.refresh()
            except Exception as error:  # noqa: BLE001
                log_warning("slice_refresh_failed", error=repr(error))

    def apply(self, configuration: Configuration) -> None:
        """Divide a configuration that has come into force."""
        with self._lock:
            self._division.refresh()
            self._follow(configuration)
            self._divide()

    def _follow(self, configuration: Configuration) -> None:
        """Set each organisation's limit over the whole fleet."""
        now = self._clock.read_monotonic()
        # What peers lent before is used a little later.
        delay_s = self._lowering_delay_s - TRANSFER_USE_S
        lowered_at = self._configuration.verified_at + delay_s
        limits = {}
        for name, organisation in configuration.organisations.items():
            rate = organisation.rate * self._rate_factor
            target = Limit(rate, organisation.burst + self._slack)
            held = self._limits.get(name, start_limit(target))
            limits[name] = held.follow(target, now, lowered_at)
        self._limits = limits
        self._organisations = configuration.organisations

    def _divide(self) -> None:
        """Set the slice of every organisation."""
        now = self._clock.read_monotonic()
        self._table.remove_except(self._organisations)
        accrued_s = 0.0 if self._begun else now - self._started_at
        for name, organisation in self._organisations.items():
            part = self._division.find_part(organisation)
            limit = self._limits[name].scale(part)
            accrued = limit.read(now).rate * accrued_s
            self._table.set_slice(name, limit, now, accrued)
        self._table.settled = settled = self._division.is_settled()
        self._begun = self._begun or (settled and bool(self._organisations))
