"""Judge this daemon's own health, so that it doubts itself before its peers."""

from corianderhold.coordination.membership.const import HEALTH_LIMIT, MAX_STEP_S


class LocalHealth:
    """
    Count signs that this daemon is slow or cut off.

    Its timeouts are multiplied by `multiplier`, from 1 up to HEALTH_LIMIT + 1.
    """

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Return the factor for probe and suspicion timeouts."""
        return 1 + self._score

    def worsen(self) -> None:
        """Note a probe without an answer, a refutation or a pause."""
        self._score = min(HEALTH_LIMIT, self._score + 1)

    def improve(self) -> None:
        """Note a probe that was answered."""
        self._score = max(0, self._score - 1)


class ActiveTime:
    """Measure the seconds during which this daemon was running, not paused."""

    def __init__(self, now_s: float) -> None:
        self._last_s = now_s
        self.seconds = 0.0

    def skip(self, now_s: float) -> None:
        """Leave the time until now out."""
        self._last_s = max(self._last_s, now_s)

    def advance(self, now_s: float) -> float:
        """Take in the time; return the length of the pause that ended, or 0."""
        step_s = max(0.0, now_s - self._last_s)
        self._last_s = max(self._last_s, now_s)
        self.seconds += min(step_s, MAX_STEP_S)
        return step_s if step_s > MAX_STEP_S else 0.0
