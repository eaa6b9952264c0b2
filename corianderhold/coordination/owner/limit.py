"""Decide how many calls a target gets at once."""

from typing import Protocol


class ConcurrencyLimit(Protocol):
    """Give the number of calls that may be in flight at the target."""

    def read_limit(self) -> int:
        """Return the present limit, at least 1."""

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Learn from a call that ended; `in_flight` is the count before its end."""


class FixedLimit:
    """Keep the limit that the configuration names."""

    def __init__(self, limit: int) -> None:
        self._limit = max(1, limit)

    def read_limit(self) -> int:
        """Return the configured limit."""
        return self._limit

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        """Ignore the call."""
