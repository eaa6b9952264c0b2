"""Track the deadline of a planned stop for all components of a process."""

from corianderhold.clock import Clock


class StopDeadline:
    """Hold the time of the stop request and the time by which the process must end."""

    def __init__(self, limit_s: float, clock: Clock) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._began_at: float | None = None

    def begin(self) -> float:
        """
        Start the countdown unless it was started before; return its start time.

        The time is in monotonic seconds; safe to call from a signal handler.
        """
        if self._began_at is None:
            self._began_at = self._clock.read_monotonic()
        return self._began_at

    def compute_remaining_s(self, reserve_s: float = 0.0) -> float:
        """Return the remaining seconds less a reserve, at least 0."""
        end_at = self.begin() + self._limit_s - reserve_s
        return max(0.0, end_at - self._clock.read_monotonic())
