"""Track this daemon's own health, so that it does not blame peers for its faults."""

from corianderhold.coordination.membership.const import HEALTH_LIMIT, MAX_STEP_S


class LocalHealth:
    """
    Count signs that this daemon is slow or partitioned (Lifeguard's local health).

    Timeouts are multiplied by `multiplier`, from 1 up to HEALTH_LIMIT + 1.
    """

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Return the factor for probe and suspicion timeouts."""
        return 1 + self._score

    def worsen(self) -> None:
        """Record an unanswered probe, a refutation or a pause."""
        self._score = min(HEALTH_LIMIT, self._score + 1)

    def improve(self) -> None:
        """Record an answered probe."""
        self._score = max(0, self._score - 1)


class ActiveClock:
    """Clock that stops while this daemon is paused, in seconds."""

    def __init__(self, now_s: float) -> None:
        self._last_s = now_s
        self.seconds = 0.0

    def skip_to(self, now_s: float) -> None:
        """Skip the time until `now_s`."""
        self._last_s = max(self._last_s, now_s)

    def advance(self, now_s: float) -> float:
        """Advance to `now_s`; return the seconds of a pause that ended, or 0."""
        step_s = max(0.0, now_s - self._last_s)
        self._last_s = max(self._last_s, now_s)
        self.seconds += min(step_s, MAX_STEP_S)
        return step_s if step_s > MAX_STEP_S else 0.0
