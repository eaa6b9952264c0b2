"""Count the time of a planned stop for all parts of a process."""

from corianderhold.clock import Clock


class StopDeadline:
    """Know when a stop was asked for, and when the process has to have ended."""

    def __init__(self, limit_s: float, clock: Clock) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._began_at: float | None = None

    def begin(self) -> float:
        """
        Count from now on, unless a stop was asked for before; return since when.

        In monotonic seconds; safe to call from a signal handler.
        """
        if self._began_at is None:
            self._began_at = self._clock.read_monotonic()
        return self._began_at

    def find_left_s(self, reserve_s: float = 0.0) -> float:
        """Return the seconds that are left, less a reserve, and never below 0."""
        end_at = self.begin() + self._limit_s - reserve_s
        return max(0.0, end_at - self._clock.read_monotonic())
