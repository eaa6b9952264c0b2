"""Pass on the response of a target and detect its end."""

from collections.abc import Callable, Iterator
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.call import AnswerTruncatedError
from corianderhold.coordination.owner.const import RESPONSE_BUFFER_TIME_S
from corianderhold.protocol.peer.const import INLINE_BODY_BYTES
from corianderhold.protocol.verdict import Reason, Refusal, refuse_may_have_run
from corianderhold.transport.web.errors import TargetError
from corianderhold.transport.web.target import TargetResponse


class FinalizedChunks:
    """
    Pass on the chunks of a response and run the clean-up exactly once.

    At the end `is_complete` says whether the response ended regularly. `explain`
    returns the refusal of one that failed, before the clean-up.
    """

    def __init__(
        self,
        chunks: Iterator[bytes],
        on_end: "EndCallback",
        is_complete: Callable[[], bool],
        explain: Callable[[Refusal], Refusal],
    ) -> None:
        self._explain = explain
        self._chunks = chunks
        self._on_end: EndCallback | None = on_end
        self._is_complete = is_complete
        self._unread = b""

    def __iter__(self) -> "FinalizedChunks":
        return self

    def __next__(self) -> bytes:
        if self._unread:
            first, self._unread = self._unread, b""
            return first
        try:
            return next(self._chunks)
        except StopIteration:
            complete = self._is_complete()
            self._finish(failed=not complete)
            if complete:
                raise
            refusal = refuse_may_have_run(Reason.CANCELLED)
            raise AnswerTruncatedError(refusal) from None
        except TargetError as error:
            refusal = self._explain(error.refusal)
            self._finish(failed=True)
            raise AnswerTruncatedError(refusal) from error
        except BaseException:
            self._finish(failed=True)
            raise

    def unread(self, first: bytes) -> None:
        """Yield bytes that were already read before the remaining chunks."""
        self._unread = first

    def close(self) -> None:
        """Abort the response; do nothing if it has already ended."""
        if self._on_end is None:
            return
        close = getattr(self._chunks, "close", do_nothing)
        close()
        self._finish(failed=True)

    def _finish(self, *, failed: bool) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(failed)


class EndCallback(Protocol):
    """A callback for the end of a call."""

    def __call__(self, failed: bool, /) -> None:
        """Release the resources of the call."""


def buffer_small(
    chunks: Iterator[bytes], length: int | None, clock: Clock
) -> tuple[bytes, bool]:
    """
    Return the first bytes of a response, and whether they are all of it.

    A small response is buffered completely. One of unknown length is buffered until it
    exceeds INLINE_BODY_BYTES or has taken RESPONSE_BUFFER_TIME_S.
    """
    if length is not None and length > INLINE_BODY_BYTES:
        return b"", False
    buffer_until = clock.read_monotonic() + RESPONSE_BUFFER_TIME_S
    parts, size = [], 0
    for part in chunks:
        parts.append(part)
        size += len(part)
        if length is None:
            late = clock.read_monotonic() >= buffer_until
            if late or size > INLINE_BODY_BYTES:
                return b"".join(parts), False
    return b"".join(parts), True


def discard(response: TargetResponse, clock: Clock) -> None:
    """
    Read a response that is not passed on, or close its connection.

    It is read, which keeps the connection reusable, only if it is small and arrives
    within RESPONSE_BUFFER_TIME_S, because the caller's refusal waits for it.
    """
    response.chunks.shorten_deadline(clock.read_monotonic() + RESPONSE_BUFFER_TIME_S)
    try:
        buffer_small(response.chunks, response.length, clock)
    except TargetError:
        return
    finally:
        response.chunks.close()


def do_nothing() -> None:
    """Close a response that holds no resources."""
