"""Change a limit: increases apply at once, decreases at a set time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Limit:
    """A rate in requests per second and a capacity in requests."""

    rate: float
    capacity: float

    def scale(self, part: float) -> "Limit":
        """Return both multiplied by a fraction."""
        return Limit(self.rate * part, self.capacity * part)

    def elementwise_max(self, other: "Limit") -> "Limit":
        """Return the higher rate and the higher capacity."""
        return Limit(max(self.rate, other.rate), max(self.capacity, other.capacity))


@dataclass(frozen=True)
class TimedLimit:
    """The limits before and from `lowered_at` on, in monotonic seconds."""

    before: Limit
    after: Limit
    lowered_at: float

    def scale(self, part: float) -> "TimedLimit":
        """Return both limits multiplied by a fraction."""
        before, after = self.before.scale(part), self.after.scale(part)
        return TimedLimit(before, after, self.lowered_at)

    def read(self, now: float) -> Limit:
        """Return the limit in force at `now`."""
        return self.before if now < self.lowered_at else self.after

    def change_to(self, target: Limit, now: float, lowered_at: float) -> "TimedLimit":
        """Return the limit after a change; a scheduled decrease is not postponed."""
        if now < self.lowered_at:
            lowered_at = min(self.lowered_at, lowered_at)
        return TimedLimit(self.read(now).elementwise_max(target), target, lowered_at)


def create_immediate_limit(limit: Limit) -> TimedLimit:
    """Return a limit that is in force at once and not scheduled to change."""
    return TimedLimit(limit, limit, float("-inf"))
