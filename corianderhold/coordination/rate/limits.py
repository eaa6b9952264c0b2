"""Change a limit: more at once, less at a set time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Limit:
    """A rate in requests a second and a capacity in requests."""

    rate: float
    capacity: float

    def scale(self, part: float) -> "Limit":
        """Return a part of both."""
        return Limit(self.rate * part, self.capacity * part)

    def join(self, other: "Limit") -> "Limit":
        """Return the higher of each."""
        return Limit(max(self.rate, other.rate), max(self.capacity, other.capacity))


@dataclass(frozen=True)
class TimedLimit:
    """What is in force before `lowered_at`, in monotonic seconds, and from then on."""

    before: Limit
    after: Limit
    lowered_at: float

    def scale(self, part: float) -> "TimedLimit":
        """Return a part of both limits."""
        before, after = self.before.scale(part), self.after.scale(part)
        return TimedLimit(before, after, self.lowered_at)

    def read(self, now: float) -> Limit:
        """Return what is in force."""
        return self.before if now < self.lowered_at else self.after

    def follow(self, target: Limit, now: float, lowered_at: float) -> "TimedLimit":
        """Return what follows a change; a lowering under way is not put off by it."""
        if now < self.lowered_at:
            lowered_at = min(self.lowered_at, lowered_at)
        return TimedLimit(self.read(now).join(target), target, lowered_at)


def start_limit(limit: Limit) -> TimedLimit:
    """Return a limit that is in force at once."""
    return TimedLimit(limit, limit, float("-inf"))
