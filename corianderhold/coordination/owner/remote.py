"""Serve the calls that other daemons send on links."""

from collections.abc import Iterator
from typing import Protocol

from result import Err, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    Answer,
    AnswerTruncatedError,
    BodyError,
    CallContext,
    InlineBody,
    RequestBody,
    StreamedBody,
)
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.owner.recent import RecentCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, Incarnation
from corianderhold.protocol.peer.const import CHUNK_BYTES
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import (
    AnswerEnd,
    AnswerHead,
    CallHead,
    CallRefused,
    Chunk,
    Continue,
    LoadReport,
)
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.transport.peer.const import SILENCE_TIMEOUT_S
from corianderhold.transport.peer.errors import LinkClosedError, LinkError
from corianderhold.transport.peer.handshake import MICROSECONDS
from corianderhold.transport.peer.link import Link

ANSWER_SEND_TIMEOUT_S = 10.0  # a slow caller holds the link up for that long


class KeyedCalls(Protocol):
    """Run calls with an idempotency key."""

    def run(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Answer, Refusal]:
        """Run a keyed call, replay its answer or refuse it."""

    def cancel(self, call_id: CallId) -> None:
        """Cancel a keyed call that was routed on from here."""


class RemoteCallServer:
    """
    Serve each call of a link.

    A call with an idempotency key comes to this daemon as the holder of the key's
    shard, any other to the owner of the local target.
    """

    def __init__(
        self,
        owner: Owner,
        keeper: KeyedCalls,
        incarnation: Incarnation,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._keeper = keeper
        self._incarnation = incarnation
        self._clock = clock
        self._recent = RecentCalls()

    def serve_call(self, link: Link, head: CallHead) -> None:
        """Serve one call and send its answer or refusal on the link."""
        retries = RetryBudget(head.retry_budget)
        refusal = self._check_acceptable(head)
        if refusal is not None:
            self._send_refusal(link, head, refusal, retries)
            return
        context = build_context(head)
        body = self._build_body(link, head)
        if context.idempotency_key is None:
            outcome = self._owner.serve(context, body, retries)
        else:
            outcome = self._keeper.run(context, body, retries)
        if isinstance(outcome, Err):
            self._send_refusal(link, head, outcome.err_value, retries)
            if isinstance(body, StreamedBody) and body.started:
                raise LinkClosedError("the rest of a body is of no use")
            return
        answer = outcome.ok_value
        try:
            self._send_answer(link, head, answer, retries)
        except AnswerTruncatedError as error:
            self._send_refusal(link, head, error.refusal, retries)
        finally:
            answer.close()

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call that is in flight, if there is one with this id."""
        self._owner.cancel(CallId(call_id))
        self._keeper.cancel(CallId(call_id))

    def report_load(self) -> LoadReport:
        """Return the present load."""
        return self._owner.report_load()

    def _check_acceptable(self, head: CallHead) -> Refusal | None:
        """Return a refusal of a frame that is for another start, late or repeated."""
        if head.incarnation != self._incarnation:
            return refuse_not_run(Reason.INCARNATION_STALE)
        now = self._clock.read_monotonic()
        accept_by = head.accept_by_us / MICROSECONDS
        if now >= accept_by:
            return refuse_not_run(Reason.DISPATCH_EXPIRED)
        if not self._recent.add(head.call_id, accept_by, now):
            return refuse_may_have_run(Reason.REPEAT_UNKNOWN, "the frame was repeated")
        return None

    def _build_body(self, link: Link, head: CallHead) -> RequestBody:
        if not head.body_follows:
            return InlineBody(head.body)
        return StreamedBody(receive_body(link, head), head.body_length)

    def _send_answer(
        self, link: Link, head: CallHead, answer: Answer, retries: RetryBudget
    ) -> None:
        """Send an answer whole in one frame, or in chunks."""
        complete = answer.body is not None
        first = AnswerHead(
            call_id=head.call_id,
            status=answer.status,
            headers=answer.headers,
            load=self._owner.report_load(),
            body=answer.body or b"",
            complete=complete,
            retry_budget_left=retries.left if complete else 0,
        )
        link.send(first, ANSWER_SEND_TIMEOUT_S)
        if complete:
            return
        for data in answer.chunks:
            for start in range(0, len(data), CHUNK_BYTES):
                part = data[start : start + CHUNK_BYTES]
                link.send(Chunk(head.call_id, part, False), ANSWER_SEND_TIMEOUT_S)
        link.send(AnswerEnd(head.call_id, retries.left), ANSWER_SEND_TIMEOUT_S)

    def _send_refusal(
        self, link: Link, head: CallHead, refusal: Refusal, retries: RetryBudget
    ) -> None:
        load = self._owner.report_load()
        message = CallRefused(head.call_id, refusal, load, retries.left)
        link.send(message, SILENCE_TIMEOUT_S)


def build_context(head: CallHead) -> CallContext:
    """Return the context of a call that came on a link."""
    return CallContext(
        call_id=head.call_id,
        root_id=head.root_id,
        organisation=head.organisation,
        importance=head.importance,
        deadline_at=head.deadline_us / MICROSECONDS,
        depth=head.depth,
        service=head.service,
        route=head.route,
        idempotent=head.idempotent,
        method=head.method,
        path=head.path,
        headers=head.headers,
        idempotency_key=head.idempotency_key,
    )


def receive_body(link: Link, head: CallHead) -> Iterator[bytes]:
    """Ask for the rest of a call's body and yield all of it."""
    try:
        link.send(Continue(head.call_id), SILENCE_TIMEOUT_S)
        yield head.body
        while True:
            message = link.receive(ANSWER_SEND_TIMEOUT_S)
            if not isinstance(message, Chunk) or message.call_id != head.call_id:
                raise BodyError("a frame other than the call's body came")
            yield message.data
            if message.end:
                return
    except (LinkError, FrameError) as error:
        raise BodyError(f"the link broke within the body: {error}") from error
