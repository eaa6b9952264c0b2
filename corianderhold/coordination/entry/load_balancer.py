"""Balance calls over owners by locality and load."""

import threading
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.eligibility import Eligibility
from corianderhold.coordination.entry.const import (
    EJECTION_DOUBLINGS_MAX,
    EJECTION_FAILURES,
    EJECTION_TIME_MAX_S,
    EJECTION_TIME_S,
    LIMIT_REPORT_LIFETIME_S,
    LOAD_REPORT_LIFETIME_S,
    OWNER_LIMIT_DEFAULT,
    PUSH_BACK_LIFETIME_S,
    PUSH_BACK_PROBE_RATIO,
    RATE_LIMIT_RETRY_SPREAD_S,
    SAMPLED_OWNERS_PER_LOCALITY,
    SPILLOVER_UTILIZATION,
)
from corianderhold.ids import InstanceId
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.state.membership.locality import Distance, Locality
from corianderhold.state.membership.model import Member

# Added to the utilization of farther owners when all owners are full.
DISTANCE_PENALTIES = {
    Distance.SELF: 0.0,
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.3,
    Distance.ELSEWHERE: 1.0,
}
NEAR = frozenset({Distance.SELF, Distance.DOMAIN})


class AttemptOutcome(Enum):
    """The outcome of an attempt, as far as it shows the health of its owner."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class OwnerStatus:
    """The state of one owner as observed by this entry's own attempts."""

    load: LoadReport | None = None
    reported_at: float = float("-inf")
    outstanding: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    cold_until: float = float("-inf")


UNKNOWN_OWNER = OwnerStatus()


def update_ejection(status: OwnerStatus, outcome: AttemptOutcome, now: float) -> None:
    """Eject an owner after consecutive failures, with exponential backoff."""
    if outcome is not AttemptOutcome.FAILED:
        status.failures = 0
        if outcome is AttemptOutcome.ANSWERED:
            status.ejections = 0
        return
    status.failures += 1
    if status.failures < EJECTION_FAILURES and status.ejections == 0:
        return
    ejection_s = EJECTION_TIME_S * 2.0 ** min(status.ejections, EJECTION_DOUBLINGS_MAX)
    status.failures = 0
    status.ejections += 1
    status.ejected_until = now + min(ejection_s, EJECTION_TIME_MAX_S)


@dataclass(frozen=True)
class Candidate:
    """
    An owner with its score; the lowest score is best.

    `load_age_s` is the age of the load report behind the score, infinite without one.
    """

    member: Member
    score: float
    load_age_s: float


@dataclass(frozen=True)
class Choice:
    """
    The result of load balancing.

    `chosen` is None if there is no eligible owner or, with `pushed_back`, if all of
    them shed calls of this importance. If all of them are cold, or if the targets name
    limits (`limited`), `wait_s` is the retry-after time in seconds.
    """

    chosen: Member | None
    candidates: tuple[Candidate, ...]
    pushed_back: bool = False
    wait_s: float = 0.0
    limited: bool = False


class LoadBalancer(Protocol):
    """Choose owners and track the outcomes of attempts."""

    def choose(
        self,
        owners: tuple[Member, ...],
        importance: int,
        eligibility: Eligibility,
    ) -> Choice:
        """Choose an eligible owner from `owners`."""

    def record_start(self, instance: InstanceId) -> None:
        """Record the start of an attempt."""

    def record_end(
        self, instance: InstanceId, outcome: AttemptOutcome, load: LoadReport | None
    ) -> None:
        """Record the end of an attempt, with the load report of its response."""


class LocalityLoadBalancer:
    """
    Choose the less loaded of two random owners at the nearest distance with capacity.

    Distances are this daemon, its failure domain, its region and everything else. Loads
    come from the reports in responses. Owners that fail repeatedly are ejected for some
    time (outlier detection), but never all of them.
    """

    def __init__(self, locality: Locality, clock: Clock, random: Random) -> None:
        self._locality = locality
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._statuses: dict[InstanceId, OwnerStatus] = {}

    def choose(
        self,
        owners: tuple[Member, ...],
        importance: int,
        eligibility: Eligibility,
    ) -> Choice:
        """Choose an eligible owner from `owners`."""
        eligible = [member for member in owners if eligibility.allows(member)]
        if not eligible:
            return Choice(None, ())
        now = self._clock.read_monotonic()
        with self._lock:
            healthy = [
                m
                for m in eligible
                if self._read_status(m.instance).ejected_until <= now
            ]
            usable = healthy or eligible
            accepting = [m for m in usable if not self._sheds(m, importance, now)]
            if not accepting:
                warm = [
                    m for m in usable if now >= self._read_status(m.instance).cold_until
                ]
                if not warm or self._random.random() >= PUSH_BACK_PROBE_RATIO:
                    return self._push_back(usable, warm)
                accepting = warm
            return self._choose_with_room(accepting, now)

    def record_start(self, instance: InstanceId) -> None:
        """Record the start of an attempt."""
        with self._lock:
            status = self._statuses.setdefault(instance, OwnerStatus())
            status.outstanding += 1

    def record_end(
        self, instance: InstanceId, outcome: AttemptOutcome, load: LoadReport | None
    ) -> None:
        """Record the end of an attempt, with the load report of its response."""
        now = self._clock.read_monotonic()
        with self._lock:
            status = self._statuses.setdefault(instance, OwnerStatus())
            status.outstanding = max(0, status.outstanding - 1)
            if load is not None:
                status.load = load
                status.reported_at = now
                status.cold_until = now + load.cold_wait_ms / 1000
            update_ejection(status, outcome, now)

    def _read_status(self, instance: InstanceId) -> OwnerStatus:
        return self._statuses.get(instance, UNKNOWN_OWNER)

    def _push_back(self, usable: list[Member], warm: list[Member]) -> Choice:
        """Choose no owner; calls above the limits of targets return spread out."""
        wait_s = 0.0 if warm else self._find_retry_wait(usable)
        now = self._clock.read_monotonic()
        limited = any(self._is_limited(member, now) for member in usable)
        if limited:
            wait_s += self._random.uniform(0, RATE_LIMIT_RETRY_SPREAD_S)
        return Choice(None, (), pushed_back=True, wait_s=wait_s, limited=limited)

    def _is_limited(self, member: Member, now: float) -> bool:
        """Return whether an owner lately reported that its target names a limit."""
        status = self._read_status(member.instance)
        notice = status.load.notice if status.load is not None else None
        is_recent = now - status.reported_at <= LIMIT_REPORT_LIFETIME_S
        return is_recent and notice is not None and notice.rate_limit is not None

    def _find_retry_wait(self, members: list[Member]) -> float:
        """
        Return the longest retry-after in seconds of some cold owners.

        The earlier tokens of the others are already reserved, by calls of this entry or
        of another one.
        """
        now = self._clock.read_monotonic()
        return (
            max(self._read_status(each.instance).cold_until for each in members) - now
        )

    def _sheds(self, member: Member, importance: int, now: float) -> bool:
        status = self._read_status(member.instance)
        age_s = now - status.reported_at
        if now < status.cold_until:
            return True
        if status.load is None or age_s > LOAD_REPORT_LIFETIME_S:
            return False
        is_recent = age_s <= PUSH_BACK_LIFETIME_S
        sheds = is_recent and importance < status.load.shed_below
        return status.load.draining or sheds

    def _choose_with_room(self, members: list[Member], now: float) -> Choice:
        """
        Choose the least loaded owner, farther ones at their limits only if need be.

        The entries near such an owner use up its limit, so that a call from farther
        away would pay for the way and be refused.
        """
        preferred = [
            member
            for member in members
            if self._locality.measure_distance(member) in NEAR
            or not self._is_limited(member, now)
        ]
        choice = self._choose_least_loaded(preferred or members, now)
        has_room = any(c.score < SPILLOVER_UTILIZATION for c in choice.candidates)
        if has_room or len(preferred) in (0, len(members)):
            return choice
        return self._choose_least_loaded(members, now)

    def _choose_least_loaded(self, members: list[Member], now: float) -> Choice:
        """Choose the least loaded of a few near owners, or of farther ones if full."""
        scored: list[Candidate] = []
        for distance in Distance:
            local = [
                m for m in members if self._locality.measure_distance(m) is distance
            ]
            sampled = [
                self._score(member, now)
                for member in self._random.sample(
                    local, min(SAMPLED_OWNERS_PER_LOCALITY, len(local))
                )
            ]
            sampled.sort(key=lambda candidate: candidate.score)
            if sampled and sampled[0].score < SPILLOVER_UTILIZATION:
                return Choice(sampled[0].member, (*scored, *sampled))
            scored += sampled
        best = min(scored, key=self._add_distance)
        return Choice(best.member, tuple(scored))

    def _score(self, member: Member, now: float) -> Candidate:
        """Score an owner by its calls in flight and queued relative to its limit."""
        status = self._read_status(member.instance)
        calls = float(status.outstanding)
        limit = OWNER_LIMIT_DEFAULT
        load_age_s = now - status.reported_at
        if status.load is not None and status.load.limit > 0:
            limit = status.load.limit
            if load_age_s <= LOAD_REPORT_LIFETIME_S:
                calls = max(calls, status.load.in_flight + status.load.queued)
        return Candidate(member, calls / limit, load_age_s)

    def _add_distance(self, candidate: Candidate) -> float:
        distance = self._locality.measure_distance(candidate.member)
        return candidate.score + DISTANCE_PENALTIES[distance]
