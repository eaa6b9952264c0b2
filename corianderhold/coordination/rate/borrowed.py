"""Track allowances borrowed from other domains until no loan depends on them."""

from collections.abc import Callable
from dataclasses import dataclass

from corianderhold.coordination.rate.limiter import Allowance
from corianderhold.ids import FailureDomainId

NO_ALLOWANCE = Allowance(0.0, 0.0, float("-inf"))


@dataclass(frozen=True)
class NumberedAllowance:
    """A grant and its number, 0 for none."""

    number: int = 0
    allowance: Allowance = NO_ALLOWANCE


@dataclass
class _Source:
    """
    The grants of one lending domain.

    A grant smaller than the one in use stays pending in `smaller` until the loans made
    from the larger one fit into it.
    """

    used: NumberedAllowance = NumberedAllowance()
    smaller: NumberedAllowance = NumberedAllowance()


class BorrowedAllowances:
    """Add up the borrowed rate and capacity; not thread-safe."""

    def __init__(self) -> None:
        self._sources: dict[FailureDomainId, _Source] = {}

    def find_total(self, until: float) -> Allowance:
        """Return the rate and capacity usable up to and including `until`."""
        lasting = [
            self._find_lasting(source, until) for source in self._sources.values()
        ]
        rate = sum(allowance.rate for allowance in lasting)
        return Allowance(rate, sum(allowance.capacity for allowance in lasting))

    def find_guaranteed_total(self, until: float) -> Allowance:
        """
        Return the rate and capacity usable until `until` under any pending change.

        With a smaller grant pending, that is the minimum of both, because the grant in
        use may be the only one that the lender keeps.
        """
        rate = capacity = 0.0
        for source in self._sources.values():
            grants = [source.used, source.smaller]
            named = [each.allowance for each in grants if each.number]
            if named and all(each.ends_at >= until for each in named):
                rate += min(each.rate for each in named)
                capacity += min(each.capacity for each in named)
        return Allowance(rate, capacity)

    def list_ends(self, now: float) -> list[float]:
        """Return the sorted expiry times at or before `now`."""
        ends = {
            numbered.allowance.ends_at
            for source in self._sources.values()
            for numbered in (source.used, source.smaller)
            if numbered.number and numbered.allowance.ends_at <= now
        }
        return sorted(ends)

    def drop_ended(self, now: float) -> None:
        """Remove grants that expired at or before `now`."""
        for source in self._sources.values():
            if source.used.allowance.ends_at <= now:
                source.used, source.smaller = source.smaller, NumberedAllowance()
            if source.smaller.allowance.ends_at <= now:
                source.smaller = NumberedAllowance()

    def accept(self, domain: FailureDomainId, grant: NumberedAllowance) -> None:
        """Use a larger grant at once, and keep a smaller one pending."""
        source = self._sources.setdefault(domain, _Source())
        used, new = source.used.allowance, grant.allowance
        if new.rate >= used.rate and new.capacity >= used.capacity:
            source.used, source.smaller = grant, NumberedAllowance()
        else:
            source.smaller = grant

    def apply_smaller_grants(
        self, fits: Callable[[Allowance], bool], until: float
    ) -> None:
        """Change to pending smaller grants if `fits` accepts the resulting total."""
        for source in self._sources.values():
            smaller = source.smaller
            if not smaller.number or smaller.allowance.ends_at < until:
                continue
            previous = source.used
            source.used, source.smaller = smaller, NumberedAllowance()
            if not fits(self.find_total(until)):
                source.used, source.smaller = previous, smaller

    def confirm_used(self, domain: FailureDomainId) -> NumberedAllowance:
        """
        Return the grant in use, to be confirmed in a request to its lender.

        The lender releases every other grant, so a pending smaller one is removed.
        """
        source = self._sources.setdefault(domain, _Source())
        source.smaller = NumberedAllowance()
        return source.used

    def read_newest_rate(self, domain: FailureDomainId) -> float:
        """Return the newest rate granted by one domain."""
        source = self._sources.get(domain)
        if source is None:
            return 0.0
        newest = source.smaller if source.smaller.number else source.used
        return newest.allowance.rate

    def sum_rates_of_others(self, domain: FailureDomainId) -> float:
        """Return the sum of the newest rates of all other domains."""
        others = [name for name in self._sources if name != domain]
        return sum(self.read_newest_rate(name) for name in others)

    def _find_lasting(self, source: _Source, until: float) -> Allowance:
        """Return the grant usable until `until`, or no allowance."""
        for numbered in (source.used, source.smaller):
            if numbered.allowance.ends_at >= until:
                return numbered.allowance
        return NO_ALLOWANCE
