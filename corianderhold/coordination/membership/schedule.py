"""Decide when to synchronise next."""

from random import Random

from corianderhold.coordination.membership.const import (
    JOIN_SYNC_DELAY_S,
    SYNC_INTERVAL_S,
    SYNC_RETRY_S,
    SYNC_REVIVAL_S,
    SYNC_SPACING_S,
)

JITTER = (0.8, 1.2)


class SyncSchedule:
    """
    Synchronise at the join, then rarely, and sooner once dead members come back.

    Times are monotonic seconds; `due_at_s` is infinite until the first join.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._finished_at_s = float("-inf")
        self.due_at_s = float("inf")

    def note_join(self, now_s: float) -> None:
        """Synchronise at once: the first other member has been found."""
        self._hasten(now_s + self._random.uniform(0.0, JOIN_SYNC_DELAY_S))

    def note_revival(self, now_s: float) -> None:
        """Synchronise soon: a cut has healed and others know of more revivals."""
        wanted_s = now_s + self._random.uniform(0.3, 1.0) * SYNC_REVIVAL_S
        self._hasten(max(wanted_s, self._finished_at_s + SYNC_SPACING_S))

    def note_outcome(self, succeeded: bool, now_s: float) -> None:
        """Set the next time after an exchange."""
        interval_s = SYNC_INTERVAL_S if succeeded else SYNC_RETRY_S
        self.due_at_s = now_s + interval_s * self._random.uniform(*JITTER)
        if succeeded:
            self._finished_at_s = now_s

    def _hasten(self, due_at_s: float) -> None:
        self.due_at_s = min(self.due_at_s, due_at_s)
