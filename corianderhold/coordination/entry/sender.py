"""Send a call to a remote owner on a peer link and receive its response."""

from collections.abc import Callable, Iterator
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import (
    AnswerTruncatedError,
    BodyError,
    CallContext,
    RequestBody,
    Response,
)
from corianderhold.coordination.entry.const import CANCEL_TIMEOUT_S, REFUSAL_GRACE_S
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.log import log_event
from corianderhold.protocol.peer.const import CHUNK_BYTES
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import (
    AnswerEnd,
    AnswerHead,
    CallHead,
    CallRefused,
    Cancel,
    Chunk,
    Continue,
    LoadReport,
    Message,
    Progress,
)
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.model import Address, Member
from corianderhold.transport.peer.const import HANDSHAKE_TIMEOUT_S, SILENCE_TIMEOUT_S
from corianderhold.transport.peer.errors import (
    LinkClosedError,
    LinkError,
    LinkSilentError,
)
from corianderhold.transport.peer.pool import LinkPool, PooledLink

LoadCallback = Callable[[LoadReport], None]


class CallSender(Protocol):
    """Send calls to owners on other instances."""

    def send(
        self,
        member: Member,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
        on_load: LoadCallback,
    ) -> Result[Response, Refusal]:
        """Send a call and wait for the head of its response."""

    def cancel(self, address: Address, call_id: CallId) -> None:
        """Tell an owner that a call is cancelled."""


class PeerSender:
    """Send calls to owners on other instances over pooled links."""

    def __init__(self, pool: LinkPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    def send(
        self,
        member: Member,
        context: CallContext,
        body: RequestBody,
        retries: RetryBudget,
        on_load: LoadCallback,
    ) -> Result[Response, Refusal]:
        """
        Send a call and wait for the head of its response.

        A share of the retry budget goes with the call. Retries that the owner does not
        use are refunded with its response, and lost if the response is lost.
        """
        borrowed = self._pool.acquire(member.peer_address, context.deadline_at)
        if isinstance(borrowed, Err):
            detail = borrowed.err_value.detail
            return Err(refuse_not_run(Reason.PEER_UNREACHABLE, detail=detail))
        pooled = borrowed.ok_value
        exchange = CallExchange(
            self._pool,
            pooled,
            context,
            retries,
            on_load,
            self._clock,
            lambda: self.cancel(pooled.address, context.call_id),
        )
        return exchange.run(body)

    def cancel(self, address: Address, call_id: CallId) -> None:
        """Tell an owner that a call is cancelled."""
        timeout_at = self._clock.read_monotonic() + CANCEL_TIMEOUT_S
        borrowed = self._pool.acquire(address, timeout_at)
        if isinstance(borrowed, Err):
            return  # the owner ends the call at its deadline anyway
        pooled = borrowed.ok_value
        try:
            pooled.link.send(Cancel(call_id), CANCEL_TIMEOUT_S)
        except LinkError:
            self._pool.discard(pooled)
            return
        self._pool.release(pooled)


class CallExchange:
    """Exchange one call and its response on a borrowed link."""

    def __init__(
        self,
        pool: LinkPool,
        pooled: PooledLink,
        context: CallContext,
        retries: RetryBudget,
        on_load: LoadCallback,
        clock: Clock,
        cancel: Callable[[], None],
    ) -> None:
        self._cancel = cancel
        self._pool = pool
        self._pooled = pooled
        self._context = context
        self._retries = retries
        self._on_load = on_load
        self._clock = clock
        self._ended = False
        self._is_body_cut = False

    def run(self, body: RequestBody) -> Result[Response, Refusal]:
        """Send the call and wait for the head of its response."""
        part = self._retries.split()
        try:
            self._pooled.link.send(self._build_head(body, part), self._limit_wait())
            message = self._receive()
            if isinstance(message, Continue):
                message = self._send_body(body) or self._receive()
            return self._open(message)
        except BodyError as error:
            self._pool.discard(self._pooled)
            return Err(refuse_may_have_run(error.reason, str(error)))
        except (LinkError, FrameError) as error:
            self._pool.discard(self._pooled)
            return Err(refuse_may_have_run(Reason.PEER_SILENT, str(error)))

    def _build_head(self, body: RequestBody, retry_budget: int) -> CallHead:
        context = self._context
        peer = self._pooled.peer
        accept_by = self._clock.read_monotonic() + SILENCE_TIMEOUT_S
        inline = body.inline
        return CallHead(
            call_id=context.call_id,
            root_id=context.root_id,
            incarnation=peer.incarnation,
            accept_by_us=peer.clock.to_peer_us(accept_by),
            deadline_us=peer.clock.to_peer_us(context.deadline_at),
            organisation=context.organisation,
            importance=context.importance,
            retry_budget=retry_budget,
            depth=context.depth,
            service=context.service,
            route=context.route,
            method=context.method,
            path=context.path,
            headers=context.headers,
            idempotent=context.idempotent,
            idempotency_key=context.idempotency_key,
            body=inline or b"",
            body_follows=inline is None,
            body_length=body.length,
            notice=context.notice,
            in_trial=context.in_trial,
        )

    def _send_body(self, body: RequestBody) -> Message | None:
        """Send the body; return the response if it comes before the end."""
        for chunk in self._split(body):
            response = None if chunk.end else self._receive_waiting()
            response = response or self._try_send(chunk)
            if response is not None:
                self._is_body_cut = True
                return response
        return None

    def _split(self, body: RequestBody) -> Iterator[Chunk]:
        call_id = self._context.call_id
        for data in body.read_chunks():
            for start in range(0, len(data), CHUNK_BYTES):
                yield Chunk(call_id, data[start : start + CHUNK_BYTES], False)
        yield Chunk(call_id, b"", True)

    def _try_send(self, chunk: Chunk) -> Message | None:
        """Send a chunk; return the response of an owner that has closed the link."""
        try:
            self._send(chunk)
        except LinkClosedError:
            return self._receive()
        return None

    def _send(self, chunk: Chunk) -> None:
        left_s = self._context.deadline_at - self._clock.read_monotonic()
        self._pooled.link.send(chunk, max(0.0, left_s))

    def _limit_wait(self) -> float:
        """Return the seconds to wait for a frame; raise `LinkSilentError` if late."""
        timeout_at = self._context.deadline_at + REFUSAL_GRACE_S
        left_s = timeout_at - self._clock.read_monotonic()
        if left_s <= 0:
            raise LinkSilentError("the owner did not respond by the deadline")
        return min(SILENCE_TIMEOUT_S, left_s)

    def _receive(self) -> Message:
        """
        Return the next message of this call; drop messages of earlier calls.

        Raise `LinkError` after the deadline, on silence, or when the link fails.
        """
        while True:
            wait_s = self._limit_wait()
            try:
                message = self._pooled.link.receive(wait_s)
            except LinkSilentError:
                if not self._should_wait_despite_silence():
                    raise
                continue
            if self._is_awaited(message):
                return message

    def _receive_waiting(self) -> Message | None:
        """Return a message of this call that has arrived, or None; see `_receive`."""
        while not self._pooled.link.is_idle():
            message = self._pooled.link.receive(self._limit_wait())
            if self._is_awaited(message):
                return message
        return None

    def _is_awaited(self, message: Message) -> bool:
        """Return whether a message is of this call; log one of an earlier call."""
        if isinstance(message, Progress):
            return False
        call_id = getattr(message, "call_id", None)
        if call_id == self._context.call_id:
            return True
        log_event("answer_dropped", call=call_id, awaited=self._context.call_id)
        return False

    def _should_wait_despite_silence(self) -> bool:
        """
        Return whether to wait for the response despite the silence of the link.

        An idempotent call is better retried at another owner. A call that is not
        idempotent waits as long as the owner does not accept new links either, which
        happens while its process is paused. If a new link opens, the response on this
        link is lost.
        """
        if self._context.idempotent:
            return False
        timeout_at = self._clock.read_monotonic() + HANDSHAKE_TIMEOUT_S
        timeout_at = min(timeout_at, self._context.deadline_at)
        return not self._pool.can_connect(self._pooled.address, timeout_at)

    def _open(self, message: Message) -> Result[Response, Refusal]:
        if isinstance(message, CallRefused):
            self._finish(message.retry_budget_left)
            self._on_load(message.load)
            return Err(message.refusal)
        if not isinstance(message, AnswerHead):
            raise LinkClosedError(f"unexpected frame {type(message).__name__}")
        self._on_load(message.load)
        if message.complete:
            self._finish(message.retry_budget_left)
            body: bytes | None = message.body
            return Ok(
                Response(message.status, message.headers, body, iter(()), do_nothing)
            )
        chunks = self._read_chunks()
        return Ok(
            Response(message.status, message.headers, None, chunks, self._abandon)
        )

    def _read_chunks(self) -> Iterator[bytes]:
        try:
            while True:
                message = self._receive()
                if isinstance(message, Chunk):
                    yield message.data
                elif isinstance(message, AnswerEnd):
                    self._finish(message.retry_budget_left)
                    return
                elif isinstance(message, CallRefused):
                    self._finish(message.retry_budget_left)
                    raise AnswerTruncatedError(message.refusal)
                else:
                    raise LinkClosedError(f"unexpected frame {type(message).__name__}")
        except (LinkError, FrameError) as error:
            refusal = refuse_may_have_run(Reason.PEER_SILENT, str(error))
            raise AnswerTruncatedError(refusal) from error

    def _finish(self, retry_budget_left: int) -> None:
        """Refund the unused retries and return the link, if its call is complete."""
        self._retries.refund(retry_budget_left)
        self._ended = True
        if self._is_body_cut:
            self._pool.discard(self._pooled)
        else:
            self._pool.release(self._pooled)

    def _abandon(self) -> None:
        """
        Abort a response that was not read to its end, and cancel it at its owner.

        The owner would detect the closed link only with the next chunk of the response.
        """
        if not self._ended:
            self._ended = True
            self._pooled.link.close()
            self._cancel()


def do_nothing() -> None:
    """Close a response that holds no resources."""
