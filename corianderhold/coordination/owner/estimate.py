"""Estimate service times from recent calls."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.const import (
    ESTIMATE_LIFETIME_S,
    SERVICE_TIME_EWMA_WEIGHT,
)
from corianderhold.ids import RouteName


class MovingAverage:
    """
    Keep an exponentially weighted moving average that expires without new values.

    It is not available before `count_min` values. The first values have equal weights.
    """

    def __init__(
        self, weight: float = SERVICE_TIME_EWMA_WEIGHT, count_min: int = 1
    ) -> None:
        self._weight = weight
        self._count_min = count_min
        self._count = 0
        self._mean_s = 0.0
        self._updated_at = float("-inf")

    def record(self, duration_s: float, now: float) -> None:
        """Add one value, in seconds."""
        if now - self._updated_at > ESTIMATE_LIFETIME_S:
            self._count = 0
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        self._mean_s += (duration_s - self._mean_s) * weight
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the mean in seconds, or 0 if it has expired or has too few values."""
        expired = now - self._updated_at > ESTIMATE_LIFETIME_S
        return 0.0 if expired or self._count < self._count_min else self._mean_s


class ServiceTimeEstimator:
    """
    Estimate service times over all routes and by route.

    Estimates expire. Otherwise a route whose calls are all refused because of its
    estimate would never be tried again. Callers hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._all = MovingAverage()
        self._routes: dict[RouteName, MovingAverage] = {}

    def record(self, route: RouteName, duration_s: float) -> None:
        """Add the duration of a call that the target answered."""
        now = self._clock.read_monotonic()
        self._all.record(duration_s, now)
        self._routes.setdefault(route, MovingAverage()).record(duration_s, now)

    def read_mean(self) -> float:
        """Return the mean over all routes in seconds."""
        return self._all.read(self._clock.read_monotonic())

    def read_mean_of(self, route: RouteName) -> float:
        """Return the mean of one route in seconds."""
        known = self._routes.get(route)
        return known.read(self._clock.read_monotonic()) if known else 0.0
