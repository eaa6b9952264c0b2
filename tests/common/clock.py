"""Fake a clock that only a test advances."""


class FakeClock:
    """Return monotonic and wall times that only `advance` changes."""

    def __init__(self, monotonic_s: float = 1000.0, wall_s: float = 1.7e9) -> None:
        self._monotonic_s = monotonic_s
        self._wall_s = wall_s

    def read_monotonic(self) -> float:
        """Return the fake monotonic time in seconds."""
        return self._monotonic_s

    def read_wall(self) -> float:
        """Return the fake Unix time in seconds."""
        return self._wall_s

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self._monotonic_s += seconds
        self._wall_s += seconds
