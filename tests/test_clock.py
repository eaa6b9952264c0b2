"""Test the clocks."""

from unittest import TestCase

from corianderhold.clock import SystemClock


class SystemClockTests(TestCase):
    """Check the operating system's clocks."""

    def test_monotonic_time_never_goes_back(self) -> None:
        clock = SystemClock()
        first = clock.read_monotonic()
        self.assertGreaterEqual(clock.read_monotonic(), first)
