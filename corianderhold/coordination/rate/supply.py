"""Keep what other domains lend until nothing on-lent depends on it."""

from collections.abc import Callable
from dataclasses import dataclass

from corianderhold.coordination.rate.limiter import Allowance
from corianderhold.ids import FailureDomainId

NOTHING = Allowance(0.0, 0.0, float("-inf"))


@dataclass(frozen=True)
class NumberedAllowance:
    """A grant by its number, 0 for none."""

    number: int = 0
    allowance: Allowance = NOTHING


@dataclass
class _Source:
    """
    The loans of one lending domain.

    A grant that is smaller than the one in use waits in `smaller` until the loans made
    from the larger one fit into it.
    """

    used: NumberedAllowance = NumberedAllowance()
    smaller: NumberedAllowance = NumberedAllowance()


class BorrowedSupply:
    """Add up borrowed rate and capacity; not thread-safe."""

    def __init__(self) -> None:
        self._sources: dict[FailureDomainId, _Source] = {}

    def find_total(self, until: float) -> Allowance:
        """Return what may be used up to and including `until`."""
        lasting = [
            self._find_lasting(source, until) for source in self._sources.values()
        ]
        rate = sum(allowance.rate for allowance in lasting)
        return Allowance(rate, sum(allowance.capacity for allowance in lasting))

    def find_smallest_total(self, until: float) -> Allowance:
        """
        Return what is covered up to `until` whichever grant is named next.

        Where one waits, that is the less of both: the one in use may be the only one
        that the lender keeps.
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
        """Return the ends at or before `now`, in order."""
        ends = {
            numbered.allowance.ends_at
            for source in self._sources.values()
            for numbered in (source.used, source.smaller)
            if numbered.number and numbered.allowance.ends_at <= now
        }
        return sorted(ends)

    def drop_ended(self, now: float) -> None:
        """Forget what ended at or before `now`."""
        for source in self._sources.values():
            if source.used.allowance.ends_at <= now:
                source.used, source.smaller = source.smaller, NumberedAllowance()
            if source.smaller.allowance.ends_at <= now:
                source.smaller = NumberedAllowance()

    def accept(self, domain: FailureDomainId, grant: NumberedAllowance) -> None:
        """Use a larger grant at once and let a smaller one wait."""
        source = self._sources.setdefault(domain, _Source())
        used, new = source.used.allowance, grant.allowance
        if new.rate >= used.rate and new.capacity >= used.capacity:
            source.used, source.smaller = grant, NumberedAllowance()
        else:
            source.smaller = grant

    def use_smaller(self, fits: Callable[[Allowance], bool], until: float) -> None:
        """Change to smaller grants where `fits` accepts the total that is left."""
        for source in self._sources.values():
            smaller = source.smaller
            if not smaller.number or smaller.allowance.ends_at < until:
                continue
            previous = source.used
            source.used, source.smaller = smaller, NumberedAllowance()
            if not fits(self.find_total(until)):
                source.used, source.smaller = previous, smaller

    def report_used(self, domain: FailureDomainId) -> NumberedAllowance:
        """
        Return the grant in use, to be named in a request to its lender.

        The lender takes back every other grant, so a smaller one is forgotten.
        """
        source = self._sources.setdefault(domain, _Source())
        source.smaller = NumberedAllowance()
        return source.used

    def read_rate(self, domain: FailureDomainId) -> float:
        """Return the newest rate granted by one domain."""
        source = self._sources.get(domain)
        if source is None:
            return 0.0
        newest = source.smaller if source.smaller.number else source.used
        return newest.allowance.rate

    def find_lent_by_others(self, domain: FailureDomainId) -> float:
        """Return the newest rates granted by all domains but one."""
        others = [name for name in self._sources if name != domain]
        return sum(self.read_rate(name) for name in others)

    def _find_lasting(self, source: _Source, until: float) -> Allowance:
        """Return the grant that may be used until then."""
        for numbered in (source.used, source.smaller):
            if numbered.allowance.ends_at >= until:
                return numbered.allowance
        return NOTHING
