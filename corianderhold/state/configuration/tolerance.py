"""Tell what cold targets bear."""

from dataclasses import dataclass

from corianderhold.state.configuration.model import Service


@dataclass(frozen=True)
class ColdTolerance:
    """
    What a cold target bears in a second beyond the rate that its service names.

    `overage` is a factor of the rate, `slack` a number of calls.
    """

    overage: float = 1.0
    slack: float = 0.0

    def count_calls(self, service: Service) -> float | None:
        """Return how many calls a cold target bears in any one second, or None."""
        if not service.cold_rate:
            return None
        return service.cold_rate * self.overage + self.slack
