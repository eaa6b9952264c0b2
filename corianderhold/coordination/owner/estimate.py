"""Estimate service times from recent calls."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    ESTIMATE_LIFETIME_S,
    SERVICE_TIME_WEIGHT,
)
from corianderhold.ids import RouteName


class MovingMean:
    """
    Keep an exponentially weighted mean that lapses without new values.

    There is none before `count_min` values; the first ones weigh alike.
    """

    def __init__(self, weight: float = SERVICE_TIME_WEIGHT, count_min: int = 1) -> None:
        self._weight = weight
        self._count_min = count_min
        self._count = 0
        self._mean_s = 0.0
        self._noted_at = float("-inf")

    def note(self, duration_s: float, now: float) -> None:
        """Take in one value."""
        if now - self._noted_at > ESTIMATE_LIFETIME_S:
            self._count = 0
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        self._mean_s += (duration_s - self._mean_s) * weight
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the mean in seconds, or 0 when it is too old to say anything."""
        lapsed = now - self._noted_at > ESTIMATE_LIFETIME_S
        return 0.0 if lapsed or self._count < self._count_min else self._mean_s


class ServiceTimes:
    """
    Know how long calls take, over all routes and by route.

    An estimate lapses, so that a route whose calls were all refused by it is tried
    again. Callers hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._all = MovingMean()
        self._routes: dict[RouteName, MovingMean] = {}

    def note(self, route: RouteName, duration_s: float) -> None:
        """Take in a call that was answered."""
        now = self._clock.read_monotonic()
        self._all.note(duration_s, now)
        self._routes.setdefault(route, MovingMean()).note(duration_s, now)

    def read_mean(self) -> float:
        """Return the mean over all routes in seconds."""
        return self._all.read(self._clock.read_monotonic())

    def read_mean_of(self, route: RouteName) -> float:
        """Return the mean of one route in seconds."""
        known = self._routes.get(route)
        return known.read(self._clock.read_monotonic()) if known else 0.0
