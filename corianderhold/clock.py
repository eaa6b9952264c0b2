"""Read the time through an interface that tests can replace."""

import time
from typing import Protocol


class Clock(Protocol):
    """Read monotonic and wall-clock time."""

    def read_monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system."""

    def read_monotonic(self) -> float:
        """Return seconds on a clock that includes time spent in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


PROCESS_STARTED_AT = SystemClock().read_monotonic()
