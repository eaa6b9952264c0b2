"""Admit calls to the local target within its limit, and queue a few."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext
from corianderhold.coordination.owner.const import (
    COLD_RETRY_AFTER_MS,
    DRAINING_RETRY_AFTER_MS,
    QUEUE_RETRY_AFTER_MS,
    RETRY_AFTER_SPREAD,
    WEIGHT_MIN,
)
from corianderhold.coordination.owner.estimate import ServiceTimes
from corianderhold.coordination.owner.limit import ConcurrencyLimit
from corianderhold.coordination.owner.pace import TargetPace
from corianderhold.coordination.owner.queue import FairQueue, Waiter, WaiterState
from corianderhold.ids import OrganisationId, RouteName
from corianderhold.log import log_event
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.model import Importance
from corianderhold.state.membership.target import TargetStatus

DEADLINE_UNMEETABLE = "the deadline can't be met"


@dataclass(frozen=True)
class AdmissionPolicy:
    """
    The configured part of admission.

    `weigh` gives an organisation's weight. A cold target bears `cold_rate` calls a
    second, None for no known bound.
    """

    queue_length: int
    weigh: Callable[[OrganisationId], float]
    cold_rate: float | None = None


class Admission:
    """Hand out permits to call the target."""

    def __init__(
        self,
        limit: ConcurrencyLimit,
        policy: AdmissionPolicy,
        clock: Clock,
        random: Random,
    ) -> None:
        self._limit = limit
        self._policy = policy
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._queue = FairQueue()
        self._in_flight = 0
        self._service_times = ServiceTimes(clock)
        self._pace = TargetPace(clock)
        self._pace.configure(policy.cold_rate)

    def follow_target(self, target: TargetStatus) -> None:
        """Take over what a heartbeat says of how cold the target is."""
        with self._lock:
            self._pace.follow(target)
            self._refuse_waiting_if_cold()

    def suspect_target(self) -> None:
        """Hold the target for cold until its next heartbeat."""
        with self._lock:
            self._pace.suspect()
            self._refuse_waiting_if_cold()

    def replace_policy(self, policy: AdmissionPolicy) -> None:
        """Go on with another policy."""
        with self._lock:
            self._policy = policy
            self._pace.configure(policy.cold_rate)

    def replace_limit(self, limit: ConcurrencyLimit) -> None:
        """Go on with another limit; calls in flight stay counted."""
        with self._lock:
            self._limit = limit
            self._admit_waiters()

    def acquire(
        self, context: CallContext, hold_waiter: Callable[[Waiter], None]
    ) -> Result[Waiter, Refusal]:
        """
        Wait for a permit until the call's deadline.

        `hold_waiter` gets the waiter before the wait, so that it can be cancelled. The
        permit is given back by `release`. A refusal is always "not run".
        """
        waiter = Waiter(
            context.importance,
            context.organisation,
            context.deadline_at,
            context.route,
        )
        hold_waiter(waiter)
        with self._lock:
            has_room = self._in_flight < self._limit.read_limit()
            if self._pace.is_cold() and not (has_room and self._pace.take_turn()):
                return Err(self._refuse_cold())
            if not self._queue and has_room:
                self._in_flight += 1
                waiter.state = WaiterState.ADMITTED
                return Ok(waiter)
            refusal = self._enqueue(waiter)
        if refusal is not None:
            return Err(refusal)
        return self._wait(waiter)

    def refuse_waiting(self) -> None:
        """Refuse the calls that wait, so that their entries try other owners."""
        with self._lock:
            self._drain_queue()

    def release_unused(self) -> None:
        """Give back a permit whose call was not sent to the target."""
        with self._lock:
            self._in_flight -= 1
            self._admit_waiters()

    def release_refused(self) -> None:
        """Give back the permit of a call that the target had no room for."""
        with self._lock:
            self._limit.note_refusal()
            self._in_flight -= 1
            self._admit_waiters()

    def release(
        self,
        route: RouteName,
        started_at: float,
        failed: bool,
        nested_s: float = 0.0,
    ) -> None:
        """
        Give a permit back; `started_at` is when the call was dispatched.

        The limit learns from the target's own time, without the `nested_s` seconds that
        it waited for others: their overload is not cured by a lower limit here.
        """
        duration_s = self._clock.read_monotonic() - started_at
        with self._lock:
            self._note_completion(max(0.0, duration_s - nested_s), failed)
            if not failed:
                self._service_times.note(route, duration_s)
            self._in_flight -= 1
            self._admit_waiters()

    def _note_completion(self, duration_s: float, failed: bool) -> None:
        """Let the limit learn, and log what it decides."""
        before = self._limit.read_limit()
        self._limit.note_completion(duration_s, failed, self._in_flight)
        after = self._limit.read_limit()
        if after != before:
            log_event(
                "limit_changed",
                limit=after,
                previous=before,
                in_flight=self._in_flight,
                queued=len(self._queue),
                mean_s=self._service_times.read_mean(),
            )

    def report_load(self, draining: bool) -> LoadReport:
        """Return the present load."""
        with self._lock:
            return LoadReport(
                self._in_flight,
                self._limit.read_limit(),
                len(self._queue),
                self._find_shed_level(),
                draining,
                int(self._pace.read_wait() * 1000),
            )

    def _find_shed_level(self) -> int:
        """
        Return the importance below which calls are refused now.

        The most important calls are never pushed back at the entry, which knows the
        queue only as it was: whether they fit is decided here.
        """
        last = self._queue.find_last() if self._is_full() else None
        if last is None:
            return 0
        return min(last.importance + 1, Importance.CRITICAL)

    def _is_full(self) -> bool:
        return len(self._queue) >= self._policy.queue_length

    def _enqueue(self, waiter: Waiter) -> Refusal | None:
        """
        Queue a call, in place of the last one when the queue is full.

        That is a less important one, or one of an organisation that waits for more.
        """
        if self._is_late(waiter, self._estimate_wait(waiter.importance)):
            return self._refuse(Reason.SHED, DEADLINE_UNMEETABLE)
        weight = self._policy.weigh(waiter.organisation)
        waiter.begin_wait()
        self._queue.push(waiter, max(weight, WEIGHT_MIN))
        if len(self._queue) <= self._policy.queue_length:
            return None
        last = self._queue.evict_last()
        if last is waiter:
            return self._refuse(Reason.QUEUE_FULL, "")
        if last is not None:
            last.decide(WaiterState.EVICTED)
        return None

    def _estimate_wait(self, importance: int) -> float:
        """Return the expected wait in seconds behind calls as important."""
        ahead = self._queue.count_at_least(importance)
        return (ahead + 1) * self._service_times.read_mean() / self._limit.read_limit()

    def _is_late(self, waiter: Waiter, wait_s: float) -> bool:
        """Return whether a call that waits this long can't end by its deadline."""
        service_s = self._service_times.read_mean_of(waiter.route)
        ends_at = self._clock.read_monotonic() + wait_s + service_s
        return ends_at >= waiter.deadline_at

    def _wait(self, waiter: Waiter) -> Result[Waiter, Refusal]:
        left_s = waiter.deadline_at - self._clock.read_monotonic()
        waiter.wait(max(0.0, left_s))
        with self._lock:
            if waiter.state is WaiterState.ADMITTED:
                return Ok(waiter)
            if waiter.cancelled:
                self._queue.remove(waiter)
                return Err(refuse_not_run(Reason.CANCELLED))
            if waiter.state is WaiterState.DRAINED:
                return Err(refuse_not_run(Reason.DRAINING, DRAINING_RETRY_AFTER_MS))
            if waiter.state is WaiterState.EVICTED:
                return Err(self._refuse(Reason.SHED, "gave way in the queue"))
            if waiter.state is WaiterState.LATE:
                return Err(self._refuse(Reason.SHED, DEADLINE_UNMEETABLE))
            self._queue.remove(waiter)
        return Err(refuse_not_run(Reason.DEADLINE_PASSED, detail="in the queue"))

    def _refuse_waiting_if_cold(self) -> None:
        if self._pace.is_cold():
            self._drain_queue()

    def _drain_queue(self) -> None:
        for waiter in self._queue.take_all():
            waiter.decide(WaiterState.DRAINED)

    def _refuse_cold(self) -> Refusal:
        """Refuse a call that has no turn at the cold target."""
        wait_ms = int(self._pace.promise_turn() * 1000)
        return refuse_not_run(Reason.TARGET_COLD, max(COLD_RETRY_AFTER_MS, wait_ms))

    def _admit_waiters(self) -> None:
        """Admit the next waiters that fit, and drop those that are too late."""
        while self._in_flight < self._limit.read_limit() and not self._pace.is_cold():
            waiter = self._queue.pop()
            if waiter is None:
                return
            if self._is_late(waiter, wait_s=0.0):
                waiter.decide(WaiterState.LATE)
                continue
            self._in_flight += 1
            waiter.decide(WaiterState.ADMITTED)

    def _refuse(self, reason: Reason, detail: str) -> Refusal:
        """Refuse with a time to come back that differs from caller to caller."""
        mean_s = self._service_times.read_mean()
        queued_s = len(self._queue) * mean_s / self._limit.read_limit()
        base_ms = max(QUEUE_RETRY_AFTER_MS, int(queued_s * 1000))
        spread = self._random.uniform(1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD)
        return refuse_not_run(reason, int(base_ms * spread), detail)
