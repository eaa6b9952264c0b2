"""Schedule the synchronisation with peers."""

from random import Random

from corianderhold.coordination.membership.const import (
    JOIN_SYNC_DELAY_S,
    SYNC_FAST_INTERVAL_S,
    SYNC_FAST_ROUNDS,
    SYNC_INTERVAL_S,
    SYNC_LARGE_FLEET,
    SYNC_RETRY_S,
    SYNC_REVIVAL_MIN_S,
    SYNC_REVIVAL_S,
    SYNC_SETTLE_INTERVAL_S,
    SYNC_SETTLE_ROUNDS,
    SYNC_SPACING_MIN_S,
    SYNC_SPACING_S,
)

JITTER = (0.8, 1.2)


class SyncSchedule:
    """
    Synchronise on join, then rarely, and sooner when dead members return.

    After a join or a revival, a few fast rounds follow while they bring updates. A join
    is followed by a few more, for members that announce themselves as they start. The
    delays grow with the size of the fleet, as does the cost of an exchange. Times are
    monotonic seconds. `due_at_s` is infinite until the first join; `is_joining` holds
    until its rounds are over.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._finished_at_s = float("-inf")
        self._fast_rounds = 0
        self._settle_rounds = 0
        self.due_at_s = float("inf")
        self.is_joining = True

    def record_join(self, now_s: float) -> None:
        """Synchronise at once, as the first other member has been found."""
        self._fast_rounds = SYNC_FAST_ROUNDS
        self._settle_rounds = SYNC_SETTLE_ROUNDS
        self._bring_forward(now_s + self._random.uniform(0.0, JOIN_SYNC_DELAY_S))

    def record_revival(self, now_s: float, members: int) -> None:
        """Synchronise soon, as a partition healed and peers know of more revivals."""
        share = min(1.0, members / SYNC_LARGE_FLEET)
        delay_s = max(SYNC_REVIVAL_MIN_S, SYNC_REVIVAL_S * share)
        spacing_s = max(SYNC_SPACING_MIN_S, SYNC_SPACING_S * share)
        if share < 1.0:
            self._fast_rounds = SYNC_FAST_ROUNDS
        wanted_s = now_s + self._random.uniform(0.3, 1.0) * delay_s
        self._bring_forward(max(wanted_s, self._finished_at_s + spacing_s))

    def record_outcome(
        self, succeeded: bool, now_s: float, received_updates: bool = False
    ) -> None:
        """Schedule the next synchronisation after an exchange."""
        interval_s = SYNC_INTERVAL_S if succeeded else SYNC_RETRY_S
        if succeeded:
            self._finished_at_s = now_s
            self._fast_rounds -= 1
            self.is_joining = (
                self.is_joining and received_updates and self._fast_rounds > 0
            )
            if received_updates and self._fast_rounds > 0:
                interval_s = SYNC_FAST_INTERVAL_S
            elif self._settle_rounds > 0:
                self._settle_rounds -= 1
                interval_s = SYNC_SETTLE_INTERVAL_S
        self.due_at_s = now_s + interval_s * self._random.uniform(*JITTER)

    def _bring_forward(self, due_at_s: float) -> None:
        self.due_at_s = min(self.due_at_s, due_at_s)
