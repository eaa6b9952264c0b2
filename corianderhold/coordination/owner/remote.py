"""Serve the calls that other daemons send on peer links."""

from collections.abc import Iterator
from typing import Protocol

from result import Err, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    AnswerTruncatedError,
    BodyError,
    CallContext,
    InlineBody,
    RequestBody,
    Response,
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

RESPONSE_SEND_TIMEOUT_S = 10.0  # a slow receiver may block the link for this long


class KeyedCalls(Protocol):
    """Run calls with an idempotency key."""

    def run(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Run a keyed call, replay its stored response, or refuse it."""

    def cancel(self, call_id: CallId) -> None:
        """Cancel a keyed call that was forwarded by this daemon."""


class RemoteCallServer:
    """
    Serve the calls of peer links.

    A call with an idempotency key is for this daemon as the holder of the key's shard;
    any other call is for the owner of the local target.
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
        """Serve one call and send its response or refusal on the link."""
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
        else:
            self._send_outcome(link, head, outcome.ok_value, retries)
        if isinstance(body, StreamedBody) and body.is_cut:
            self._discard_body(link, head)

    def cancel_call(self, call_id: str) -> None:
        """Cancel the call with this id if it is in flight."""
        self._owner.cancel(CallId(call_id))
        self._keeper.cancel(CallId(call_id))

    def report_load(self) -> LoadReport:
        """Return the current load."""
        return self._owner.report_load()

    def _check_acceptable(self, head: CallHead) -> Refusal | None:
        """Refuse a frame that is for another incarnation, expired or a duplicate."""
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

    def _send_outcome(
        self, link: Link, head: CallHead, response: Response, retries: RetryBudget
    ) -> None:
        """Send a response, and a refusal if it is truncated."""
        try:
            self._send_response(link, head, response, retries)
        except AnswerTruncatedError as error:
            self._send_refusal(link, head, error.refusal, retries)
        finally:
            response.close()

    def _discard_body(self, link: Link, head: CallHead) -> None:
        """
        Receive the rest of a body until its end or the deadline of its call.

        To close the link with bytes unread would reset it, and the entry could lose the
        response. Raise `LinkError` if the link can't be used for another call.
        """
        while self._clock.read_monotonic() < head.deadline_us / MICROSECONDS:
            message = link.receive(RESPONSE_SEND_TIMEOUT_S)
            if not isinstance(message, Chunk) or message.call_id != head.call_id:
                raise LinkClosedError("expected the rest of a call's body")
            if message.end:
                return
        raise LinkClosedError("the body did not end by the deadline of its call")

    def _send_response(
        self, link: Link, head: CallHead, response: Response, retries: RetryBudget
    ) -> None:
        """Send a response in one frame if it is complete, else in chunks."""
        complete = response.body is not None
        first = AnswerHead(
            call_id=head.call_id,
            status=response.status,
            headers=response.headers,
            load=self._owner.report_load(),
            body=response.body or b"",
            complete=complete,
            retry_budget_left=retries.left if complete else 0,
        )
        link.send(first, RESPONSE_SEND_TIMEOUT_S)
        if complete:
            return
        for data in response.chunks:
            for start in range(0, len(data), CHUNK_BYTES):
                part = data[start : start + CHUNK_BYTES]
                link.send(Chunk(head.call_id, part, False), RESPONSE_SEND_TIMEOUT_S)
        link.send(AnswerEnd(head.call_id, retries.left), RESPONSE_SEND_TIMEOUT_S)

    def _send_refusal(
        self, link: Link, head: CallHead, refusal: Refusal, retries: RetryBudget
    ) -> None:
        load = self._owner.report_load()
        message = CallRefused(head.call_id, refusal, load, retries.left)
        link.send(message, SILENCE_TIMEOUT_S)


def build_context(head: CallHead) -> CallContext:
    """Return the context of a call that was received on a link."""
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
        notice=head.notice,
        in_trial=head.in_trial,
    )


def receive_body(link: Link, head: CallHead) -> Iterator[bytes]:
    """Request the rest of a call's body and yield the whole body."""
    try:
        link.send(Continue(head.call_id), SILENCE_TIMEOUT_S)
        yield head.body
        while True:
            message = link.receive(RESPONSE_SEND_TIMEOUT_S)
            if not isinstance(message, Chunk) or message.call_id != head.call_id:
                raise BodyError(
                    "expected a chunk of the call's body, got another frame"
                )
            yield message.data
            if message.end:
                return
    except (LinkError, FrameError) as error:
        raise BodyError(f"the link failed while the body was read: {error}") from error
