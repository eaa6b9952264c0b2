"""Tell the time; the parts take a clock so that tests can hand in their own."""

import time
from typing import Protocol


class Clock(Protocol):
    """Read elapsed and wall-clock time."""

    def read_monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system."""

    def read_monotonic(self) -> float:
        """Return seconds on a clock that counts suspended time too."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
