"""Keep the departures of other daemons' targets in memory."""

import threading
from collections import OrderedDict

from corianderhold.clock import Clock
from corianderhold.ids import InstanceId
from corianderhold.state.membership.const import (
    DEPARTURE_RETENTION_S,
    DEPARTURES_MAX,
    INSTANCE_DEPARTURES_MAX,
)
from corianderhold.state.membership.target import Departure

DepartedStart = tuple[str, int | None]


class DepartureTable:
    """
    Keep the last departures of each instance for DEPARTURE_RETENTION_S; thread-safe.

    A start that has left stays withdrawn, in whatever order its departures arrive.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._kept: OrderedDict[
            InstanceId, OrderedDict[DepartedStart, tuple[Departure, float]]
        ] = OrderedDict()

    def keep(self, instance: InstanceId, departures: tuple[Departure, ...]) -> None:
        """Keep departures of an instance's target in addition to earlier ones."""
        now_s = self._clock.read_monotonic()
        with self._lock:
            for departure in departures:
                self._keep(instance, departure, now_s)
            while len(self._kept) > DEPARTURES_MAX:
                self._kept.popitem(last=False)

    def find(self, instance: InstanceId) -> tuple[Departure, ...]:
        """Return the departures kept for an instance, oldest first."""
        oldest_s = self._clock.read_monotonic() - DEPARTURE_RETENTION_S
        with self._lock:
            kept = self._kept.get(instance, OrderedDict())
            return tuple(each for each, kept_at in kept.values() if kept_at >= oldest_s)

    def _keep(self, instance: InstanceId, departure: Departure, now_s: float) -> None:
        kept = self._kept.setdefault(instance, OrderedDict())
        self._kept.move_to_end(instance)
        start = departure.target_id, departure.started
        known = kept.pop(start, None)
        if known is not None and known[0].withdrawn:
            departure = known[0]
        kept[start] = departure, now_s
        while len(kept) > INSTANCE_DEPARTURES_MAX:
            kept.popitem(last=False)
