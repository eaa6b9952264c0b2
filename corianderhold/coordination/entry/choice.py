"""Choose the owner that a call is sent to."""

import threading
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.eligibility import Eligibility
from corianderhold.coordination.entry.const import (
    CANDIDATES,
    EJECTION_DOUBLINGS_MAX,
    EJECTION_FAILURES,
    EJECTION_TIME_MAX_S,
    EJECTION_TIME_S,
    FILL_RATIO,
    LIMIT_UNKNOWN,
    LOAD_REPORT_LIFETIME_S,
    PUSH_BACK_LIFETIME_S,
    PUSH_BACK_PROBE_RATIO,
)
from corianderhold.ids import InstanceId
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.state.membership.model import Member
from corianderhold.state.membership.place import Distance, Place

# What distance costs among owners that are all full, in parts of a limit.
DISTANCE_PENALTIES = {
    Distance.SELF: 0.0,
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.3,
    Distance.ELSEWHERE: 1.0,
}


class AttemptOutcome(Enum):
    """What an attempt says about its owner."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class OwnerView:
    """What this entry knows of one owner from its own attempts."""

    load: LoadReport | None = None
    reported_at: float = float("-inf")
    outstanding: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    cold_until: float = float("-inf")


UNKNOWN_OWNER = OwnerView()


def judge_outcome(view: OwnerView, outcome: AttemptOutcome, now: float) -> None:
    """Eject an owner after repeated failures, for longer each time."""
    if outcome is not AttemptOutcome.FAILED:
        view.failures = 0
        if outcome is AttemptOutcome.ANSWERED:
            view.ejections = 0
        return
    view.failures += 1
    if view.failures < EJECTION_FAILURES and view.ejections == 0:
        return
    doubled = EJECTION_TIME_S * 2.0 ** min(view.ejections, EJECTION_DOUBLINGS_MAX)
    view.failures = 0
    view.ejections += 1
    view.ejected_until = now + min(doubled, EJECTION_TIME_MAX_S)


@dataclass(frozen=True)
class Candidate:
    """
    An owner with its score; the lowest score is best.

    `load_age_s` is how old the load was that the score was made of, infinite without.
    """

    member: Member
    score: float
    load_age_s: float


@dataclass(frozen=True)
class Choice:
    """
    The outcome of a choice.

    `chosen` is None when there is no owner, or when all owners shed calls of this
    importance, which `pushed_back` tells apart. Where all of them are cold, a call is
    to come back in `wait_s` seconds.
    """

    chosen: Member | None
    candidates: tuple[Candidate, ...]
    pushed_back: bool = False
    wait_s: float = 0.0


class Chooser(Protocol):
    """Choose owners and learn from the outcomes."""

    def choose(
        self,
        owners: tuple[Member, ...],
        importance: int,
        eligibility: Eligibility,
    ) -> Choice:
        """Choose one of `owners` that is eligible."""

    def note_start(self, instance: InstanceId) -> None:
        """Count an attempt that begins."""

    def note_end(
        self, instance: InstanceId, outcome: AttemptOutcome, load: LoadReport | None
    ) -> None:
        """Count an attempt that ended, with the load that its answer carried."""


class LocalityChooser:
    """
    Take the better of two random owners of the nearest ring that has room.

    The rings are this daemon, its failure domain, its region and the rest. The load is
    what the last answer carried. Owners that fail repeatedly are ejected for a while,
    but never all of them.
    """

    def __init__(self, place: Place, clock: Clock, random: Random) -> None:
        self._place = place
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._views: dict[InstanceId, OwnerView] = {}

    def choose(
        self,
        owners: tuple[Member, ...],
        importance: int,
        eligibility: Eligibility,
    ) -> Choice:
        """Choose one of `owners` that is eligible."""
        eligible = [member for member in owners if eligibility.allows(member)]
        if not eligible:
            return Choice(None, ())
        now = self._clock.read_monotonic()
        with self._lock:
            healthy = [
                m for m in eligible if self._view(m.instance).ejected_until <= now
            ]
            pool = healthy or eligible
            accepting = [m for m in pool if not self._sheds(m, importance, now)]
            if not accepting:
                warm = [m for m in pool if now >= self._view(m.instance).cold_until]
                if not warm:
                    return Choice(None, (), pushed_back=True, wait_s=self._wait(pool))
                if self._random.random() >= PUSH_BACK_PROBE_RATIO:
                    return Choice(None, (), pushed_back=True)
                accepting = warm
            return self._take_best(accepting, now)

    def note_start(self, instance: InstanceId) -> None:
        """Count an attempt that begins."""
        with self._lock:
            view = self._views.setdefault(instance, OwnerView())
            view.outstanding += 1

    def note_end(
        self, instance: InstanceId, outcome: AttemptOutcome, load: LoadReport | None
    ) -> None:
        """Count an attempt that ended, with the load that its answer carried."""
        now = self._clock.read_monotonic()
        with self._lock:
            view = self._views.setdefault(instance, OwnerView())
            view.outstanding = max(0, view.outstanding - 1)
            if load is not None:
                view.load = load
                view.reported_at = now
                view.cold_until = now + load.cold_wait_ms / 1000
            judge_outcome(view, outcome, now)

    def _view(self, instance: InstanceId) -> OwnerView:
        return self._views.get(instance, UNKNOWN_OWNER)

    def _wait(self, members: list[Member]) -> float:
        """
        Return in how many seconds the last of some cold owners takes a call.

        The turns of the others have been promised, to this entry or another one.
        """
        now = self._clock.read_monotonic()
        return max(self._view(each.instance).cold_until for each in members) - now

    def _sheds(self, member: Member, importance: int, now: float) -> bool:
        view = self._view(member.instance)
        age_s = now - view.reported_at
        if now < view.cold_until:
            return True
        if view.load is None or age_s > LOAD_REPORT_LIFETIME_S:
            return False
        pushes_back = age_s <= PUSH_BACK_LIFETIME_S
        sheds = pushes_back and importance < view.load.shed_below
        return view.load.draining or sheds

    def _take_best(self, members: list[Member], now: float) -> Choice:
        """Take the least busy of a few near owners, of farther ones if all are full."""
        scored: list[Candidate] = []
        for distance in Distance:
            ring = [m for m in members if self._place.measure(m) is distance]
            drawn = [
                self._assess(member, now)
                for member in self._random.sample(ring, min(CANDIDATES, len(ring)))
            ]
            drawn.sort(key=lambda candidate: candidate.score)
            if drawn and drawn[0].score < FILL_RATIO:
                return Choice(drawn[0].member, (*scored, *drawn))
            scored += drawn
        best = min(scored, key=self._add_distance)
        return Choice(best.member, tuple(scored))

    def _assess(self, member: Member, now: float) -> Candidate:
        """Score an owner by what part of its limit it has in flight or queued."""
        view = self._view(member.instance)
        busy = float(view.outstanding)
        limit = LIMIT_UNKNOWN
        load_age_s = now - view.reported_at
        if view.load is not None and view.load.limit > 0:
            limit = view.load.limit
            if load_age_s <= LOAD_REPORT_LIFETIME_S:
                busy = max(busy, view.load.in_flight + view.load.queued)
        return Candidate(member, busy / limit, load_age_s)

    def _add_distance(self, candidate: Candidate) -> float:
        distance = self._place.measure(candidate.member)
        return candidate.score + DISTANCE_PENALTIES[distance]
