"""Admit calls to the local target within its limit, with a short queue."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext
from corianderhold.coordination.owner.cold_start import ColdStartLimiter
from corianderhold.coordination.owner.const import (
    COLD_RETRY_AFTER_MS,
    DRAINING_RETRY_AFTER_MS,
    QUEUE_RETRY_AFTER_MS,
    RATE_LIMIT_RETRY_SPREAD_S,
    RETRY_AFTER_JITTER_RATIO,
    WEIGHT_MIN,
)
from corianderhold.coordination.owner.estimate import ServiceTimeEstimator
from corianderhold.coordination.owner.limit import ConcurrencyLimit
from corianderhold.coordination.owner.queue import FairQueue, Waiter, WaiterState
from corianderhold.coordination.owner.rate_limit import TargetRateLimiter
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
    The settings of admission control.

    `find_weight` returns an organisation's weight in the queue. A cold target, one that
    has just started, gets at most `cold_rate` calls per second; None sets no limit.
    """

    queue_length: int
    find_weight: Callable[[OrganisationId], float]
    cold_rate: float | None = None


class AdmissionController:
    """Grant permits to call the target; any thread may ask."""

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
        self._service_times = ServiceTimeEstimator(clock)
        self._cold_start = ColdStartLimiter(clock)
        self._cold_start.configure(policy.cold_rate)
        self._rate_limiter = TargetRateLimiter(clock)

    def update_target(self, target: TargetStatus) -> None:
        """Apply the target's heartbeat, which says until when it is cold."""
        with self._lock:
            self._cold_start.update_target(target)
            self._refuse_queued_if_cold()

    def assume_target_cold(self) -> None:
        """Treat the target as cold until its next heartbeat."""
        with self._lock:
            self._cold_start.assume_cold()
            self._refuse_queued_if_cold()

    def limit_rate(self, rate: float | None) -> None:
        """Limit the calls per second to the target; None ends the limit."""
        with self._lock:
            self._rate_limiter.set_rate(rate)
            if rate is not None:
                self._drain_queue()

    def replace_policy(self, policy: AdmissionPolicy) -> None:
        """Replace the policy; calls that are already queued stay queued."""
        with self._lock:
            self._policy = policy
            self._cold_start.configure(policy.cold_rate)

    def replace_limit(self, limit: ConcurrencyLimit) -> None:
        """Replace the limit; calls in flight stay counted."""
        with self._lock:
            self._limit = limit
            self._admit_waiters()

    def acquire(
        self, context: CallContext, register_waiter: Callable[[Waiter], None]
    ) -> Result[Waiter, Refusal]:
        """
        Wait for a permit until the call's deadline.

        `register_waiter` is called with the waiter before the wait, so that the wait
        can be cancelled. The permit is returned by one of the `release` methods. A
        refusal is always "not run".
        """
        waiter = Waiter(
            context.importance,
            context.organisation,
            context.deadline_at,
            context.route,
        )
        register_waiter(waiter)
        with self._lock:
            # While calls per second are limited, one without room or token is not
            # queued.
            has_room = self._in_flight < self._limit.read_limit()
            if self._cold_start.is_cold() and not (
                has_room and self._cold_start.try_acquire()
            ):
                return Err(self._refuse_cold())
            if self._rate_limiter.is_limited() and not (
                has_room and self._rate_limiter.try_acquire(context.importance)
            ):
                return Err(self._refuse_limited())
            if not self._queue and has_room:
                self._in_flight += 1
                waiter.state = WaiterState.ADMITTED
                return Ok(waiter)
            refusal = self._enqueue(waiter)
        if refusal is not None:
            return Err(refusal)
        return self._wait(waiter)

    def refuse_queued(self) -> None:
        """Refuse all queued calls, so that their entries try other owners."""
        with self._lock:
            self._drain_queue()

    def release_unsent(self) -> None:
        """Return the permit of a call that was not sent to the target."""
        with self._lock:
            self._in_flight -= 1
            self._admit_waiters()

    def release_refused(self) -> None:
        """Return the permit of a call that the target refused for lack of capacity."""
        with self._lock:
            self._limit.record_refusal()
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
        Return the permit of a call that was dispatched at `started_at`.

        The limit is adjusted by the target's own service time, without the `nested_s`
        seconds that it waited for nested calls: a lower limit here doesn't relieve an
        overloaded callee. Wait and deadline estimates use the whole duration.
        """
        duration_s = self._clock.read_monotonic() - started_at
        with self._lock:
            self._record_completion(max(0.0, duration_s - nested_s), failed)
            if not failed:
                self._service_times.record(route, duration_s)
            self._in_flight -= 1
            self._admit_waiters()

    def _record_completion(self, duration_s: float, failed: bool) -> None:
        """Update the limit by a completed call, and log a change of the limit."""
        before = self._limit.read_limit()
        self._limit.record_completion(duration_s, failed, self._in_flight)
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
        """Return the current load."""
        with self._lock:
            wait_s = max(
                self._cold_start.read_retry_after(), self._rate_limiter.find_wait()
            )
            return LoadReport(
                self._in_flight,
                self._limit.read_limit(),
                len(self._queue),
                max(self._find_shed_level(), self._rate_limiter.find_shed_level()),
                draining,
                int(wait_s * 1000),
            )

    def _find_shed_level(self) -> int:
        """
        Return the importance below which entries shed calls; 0 if they shed none.

        While the queue is full, they shed calls no more important than the one that
        would be served last. They never shed calls of the highest importance, because
        their view of the queue is out of date: whether those fit is decided here.
        """
        last = self._queue.find_last() if self._is_full() else None
        if last is None:
            return 0
        return min(last.importance + 1, Importance.CRITICAL)

    def _is_full(self) -> bool:
        return len(self._queue) >= self._policy.queue_length

    def _enqueue(self, waiter: Waiter) -> Refusal | None:
        """
        Queue a call; if the queue is then too long, evict the one to be served last.

        That is one of the least important calls and, among these, of the organisation
        with the most served and queued calls for its weight. Return a refusal if it is
        the new call, or if the new call can't meet its deadline.
        """
        if self._would_miss_deadline(waiter, self._estimate_wait(waiter.importance)):
            return self._refuse(Reason.SHED, DEADLINE_UNMEETABLE)
        weight = self._policy.find_weight(waiter.organisation)
        waiter.begin_wait()
        self._queue.push(waiter, max(weight, WEIGHT_MIN))
        if len(self._queue) <= self._policy.queue_length:
            return None
        last = self._queue.evict_last()
        if last is waiter:
            return self._refuse(Reason.QUEUE_FULL, "")
        if last is not None:
            last.resolve(WaiterState.EVICTED)
        return None

    def _estimate_wait(self, importance: int) -> float:
        """Return the expected wait in seconds behind calls at least as important."""
        # The target completes limit / mean calls per second.
        ahead = self._queue.count_at_least(importance)
        return (ahead + 1) * self._service_times.read_mean() / self._limit.read_limit()

    def _would_miss_deadline(self, waiter: Waiter, wait_s: float) -> bool:
        """Return whether a call that waits for `wait_s` would miss its deadline."""
        service_s = self._service_times.read_mean_of(waiter.route)
        ends_at = self._clock.read_monotonic() + wait_s + service_s
        return ends_at >= waiter.deadline_at

    def _wait(self, waiter: Waiter) -> Result[Waiter, Refusal]:
        """Wait until a queued call is resolved or cancelled, or its deadline passes."""
        remaining_s = waiter.deadline_at - self._clock.read_monotonic()
        waiter.wait(max(0.0, remaining_s))
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

    def _refuse_queued_if_cold(self) -> None:
        """Refuse all queued calls if the target is cold, as its calls must not wait."""
        if self._cold_start.is_cold():
            self._drain_queue()

    def _drain_queue(self) -> None:
        """Resolve all queued calls as drained, so that entries try other owners."""
        for waiter in self._queue.take_all():
            waiter.resolve(WaiterState.DRAINED)

    def _refuse_cold(self) -> Refusal:
        """Refuse a call that a cold target has no permit or no token for."""
        wait_ms = int(self._cold_start.reserve_retry() * 1000)
        return refuse_not_run(Reason.TARGET_COLD, max(COLD_RETRY_AFTER_MS, wait_ms))

    def _refuse_limited(self) -> Refusal:
        """Refuse a call above the target's limit; retries arrive spread out."""
        spread_s = self._random.uniform(0, RATE_LIMIT_RETRY_SPREAD_S)
        wait_ms = int((self._rate_limiter.find_wait() + spread_s) * 1000)
        return refuse_not_run(Reason.TARGET_LIMITED, max(COLD_RETRY_AFTER_MS, wait_ms))

    def _admit_waiters(self) -> None:
        """Admit waiters within the limit; refuse those that would end too late."""
        while (
            self._in_flight < self._limit.read_limit()
            and not self._cold_start.is_cold()
        ):
            waiter = self._queue.pop()
            if waiter is None:
                return
            if self._would_miss_deadline(waiter, wait_s=0.0):
                waiter.resolve(WaiterState.LATE)
                continue
            self._in_flight += 1
            waiter.resolve(WaiterState.ADMITTED)

    def _refuse(self, reason: Reason, detail: str) -> Refusal:
        """Refuse until the queue may be empty; the retry-after time has jitter."""
        mean_s = self._service_times.read_mean()
        queue_delay_s = len(self._queue) * mean_s / self._limit.read_limit()
        base_ms = max(QUEUE_RETRY_AFTER_MS, int(queue_delay_s * 1000))
        jitter = self._random.uniform(
            1 - RETRY_AFTER_JITTER_RATIO, 1 + RETRY_AFTER_JITTER_RATIO
        )
        return refuse_not_run(reason, int(base_ms * jitter), detail)
