"""Split the requests of a route between services by weight."""

from random import Random
from threading import Lock

from corianderhold.ids import RouteName, ServiceName
from corianderhold.state.configuration.model import Configuration, Route, TrafficSplit


class SplitChooser:
    """
    Choose a service for each request; any thread may ask.

    Each route has its own sequence, which continues over configuration versions as long
    as its weights stay the same.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._sequences: dict[RouteName, SplitSequence] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the splits of the configuration in force."""
        self._sequences = {
            each.name: self._continue_sequence(each)
            for each in configuration.routes
            if each.splits
        }

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if not route.splits:
            return route.service
        sequence = self._sequences.get(route.name)
        if sequence is None or sequence.splits != route.splits:
            # The route is of another version than the one applied last.
            sequence = SplitSequence(route.splits, self._random)
        return sequence.choose()

    def _continue_sequence(self, route: Route) -> "SplitSequence":
        known = self._sequences.get(route.name)
        if known is not None and known.splits == route.splits:
            return known
        return SplitSequence(route.splits, self._random)


class SplitSequence:
    """
    Select the services of one split in a deterministic sequence.

    Each service but the last takes a ratio of the requests that the services before it
    left: it adds the ratio to its phase and takes the request when the phase reaches 1.
    Any run of requests then matches the weights to within a few requests. The phases
    start at random, so that the expected shares are exact even over many daemons with
    few requests each.
    """

    def __init__(self, splits: tuple[TrafficSplit, ...], random: Random) -> None:
        self.splits = splits
        self._lock = Lock()
        parts = [each for each in splits if each.weight > 0]
        self._services = [each.service for each in parts]
        remaining = sum(each.weight for each in parts)
        self._ratios = []
        for each in parts[:-1]:
            self._ratios.append(each.weight / remaining)
            remaining -= each.weight
        self._phases = [random.random() for _ in self._ratios]

    def choose(self) -> ServiceName:
        """Return the service for the next request."""
        with self._lock:
            for index, ratio in enumerate(self._ratios):
                phase = self._phases[index] + ratio
                if phase >= 1.0:
                    self._phases[index] = phase - 1.0
                    return self._services[index]
                self._phases[index] = phase
        return self._services[-1]
