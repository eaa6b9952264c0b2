"""Run requests with an idempotency key whose shard this daemon holds."""

import threading
from dataclasses import dataclass, replace
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, RequestBody, Response
from corianderhold.coordination.lease.guard import LeaseGuard
from corianderhold.coordination.once.const import (
    IN_PROGRESS_RETRY_AFTER_MS,
    NO_HOLDER_RETRY_AFTER_MS,
    TENURE_CHECK_INTERVAL_S,
)
from corianderhold.coordination.once.key import (
    IdempotencyKey,
    compute_fingerprint,
    find_shard,
    list_shards,
    parse_idempotency_key,
)
from corianderhold.coordination.once.records import (
    IdempotencyRecords,
    KeyDecision,
    KeyDecisionState,
    RecordedResponse,
)
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.log import log_event
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.lease.model import ShardId


class CallRouter(Protocol):
    """Route calls to owners."""

    def route(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Return the response with its body not yet read, or the final refusal."""

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call whose caller no longer waits for it."""


@dataclass(frozen=True)
class Tenure:
    """
    The idempotency records of one tenure: the time for which a daemon holds a shard.

    `number` is the term of the shard's lease in which this daemon took it.
    """

    number: int
    records: IdempotencyRecords


class OnceKeeper:
    """
    Decide on keyed requests, which carry an idempotency key; route those that may run.

    Only the daemon that holds the lease of a key's shard decides. The lease is checked
    before each decision. A pause between the check and the run is safe, because a later
    holder never runs a key that this one may have accepted (see IdempotencyRecords).
    """

    def __init__(self, guard: LeaseGuard, router: CallRouter, clock: Clock) -> None:
        self._guard = guard
        self._router = router
        self._clock = clock
        self._lock = threading.Lock()
        self._tenures: dict[ShardId, Tenure] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._observe_periodically, name="once", daemon=True
        )

    def start(self) -> None:
        """Start the thread that creates the records of newly held shards."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def observe_tenures(self) -> None:
        """
        Create the records of each shard whose tenure is new.

        Keys made before the horizon of the records are refused, so the records are
        created well before the first request.
        """
        for shard in list_shards():
            self._ensure_records(shard)

    def run(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """
        Run a keyed request, replay its response or refuse it.

        A daemon that does not hold the shard refuses with NOT_HOLDER and names the
        holder, if it knows one, in the detail.
        """
        parsed = parse_idempotency_key(context)
        if isinstance(parsed, Err):
            return parsed
        key = parsed.ok_value
        shard = find_shard(key)
        fingerprint = compute_fingerprint(context, body)
        # Read before the lease check. After a pause, a later time could let a key pass
        # whose timestamp is newer than those that the next holder refuses.
        now = self._clock.read_wall()
        records = self._ensure_records(shard)
        if records is None:
            hint = self._guard.find_holder(shard) or ""
            return Err(
                refuse_not_run(Reason.NOT_HOLDER, NO_HOLDER_RETRY_AFTER_MS, hint)
            )
        decision = records.begin(key, fingerprint, now)
        log_event(
            "keyed_request_judged",
            call=context.call_id,
            shard=shard,
            state=decision.state,
        )
        if decision.state is not KeyDecisionState.RUN:
            return respond_to_repeat(decision)
        return self._run_first(records, key, context, body, retries)

    def cancel(self, call_id: CallId) -> None:
        """Cancel a keyed call that this daemon routed."""
        self._router.cancel(call_id)

    def _observe_periodically(self) -> None:
        while not self._stopped.wait(TENURE_CHECK_INTERVAL_S):
            self.observe_tenures()

    def _run_first(
        self,
        records: IdempotencyRecords,
        key: IdempotencyKey,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
    ) -> Result[Response, Refusal]:
        """
        Route the first request under a key and record its outcome.

        If it may have run, but has no complete response, repeats are refused. If it did
        not run, a repeat may run.
        """
        try:
            unkeyed = replace(context, idempotency_key=None)
            outcome = self._router.route(unkeyed, body, retries)
        except BaseException:
            records.end_run(key, None)
            raise
        if isinstance(outcome, Err) and outcome.err_value.not_run:
            records.end_not_run(key)
        else:
            records.end_run(key, build_recorded_response(outcome))
        return outcome

    def _ensure_records(self, shard: ShardId) -> IdempotencyRecords | None:
        """
        Return the records of the current tenure, None if not the holder.

        A new tenure gets new records.
        """
        number = self._guard.find_tenure(shard)
        if number is None:
            return None
        with self._lock:
            tenure = self._tenures.get(shard)
            if tenure is None or tenure.number != number:
                tenure = Tenure(number, IdempotencyRecords(self._clock.read_wall()))
                self._tenures[shard] = tenure
                log_event("once_tenure_began", shard=shard, tenure=number)
            return tenure.records


def build_recorded_response(
    outcome: Result[Response, Refusal],
) -> RecordedResponse | None:
    """Return the response to record, None for a refusal or a streamed body."""
    if isinstance(outcome, Err) or outcome.ok_value.body is None:
        return None
    response = outcome.ok_value
    return RecordedResponse(response.status, response.headers, response.body or b"")


def respond_to_repeat(begin: KeyDecision) -> Result[Response, Refusal]:
    """Replay the recorded response, or refuse a request that must not run now."""
    match begin.state:
        case KeyDecisionState.REPLAY if begin.response is not None:
            recorded = begin.response
            response = Response(
                recorded.status, recorded.headers, recorded.body, iter(()), lambda: None
            )
            return Ok(response)
        case KeyDecisionState.IN_PROGRESS:
            refusal = refuse_may_have_run(
                Reason.REPEAT_IN_PROGRESS, "the first request runs"
            )
            return Err(replace(refusal, retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS))
        case KeyDecisionState.MISMATCH:
            detail = "the Idempotency-Key was used for another request"
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=detail))
        case KeyDecisionState.FROM_THE_FUTURE:
            detail = "the Idempotency-Key carries a time in the future"
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=detail))
    detail = "its outcome is not remembered"
    return Err(refuse_may_have_run(Reason.REPEAT_UNKNOWN, detail))
