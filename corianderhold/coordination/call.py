"""Data model of a call as it passes through a daemon."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from corianderhold.errors import CorianderholdError
from corianderhold.ids import CallId, OrganisationId, RootId, RouteName, ServiceName
from corianderhold.protocol.peer.messages import Header, TargetNotice
from corianderhold.protocol.verdict import Reason, Refusal


@dataclass(frozen=True, slots=True)
class CallContext:
    """
    The request of a call and on whose behalf it runs.

    `deadline_at` is in seconds on this daemon's monotonic clock. `depth` is 0 for a
    root request and increases by one with each nested call. `request_id` is the
    caller's id of the request. `notice` is what the entry knows of the owner's target.
    With `in_trial`, an equal call was in flight when a target crashed, and the owner is
    the one that tries it again.
    """

    call_id: CallId
    root_id: RootId
    organisation: OrganisationId
    importance: int
    deadline_at: float
    depth: int
    service: ServiceName
    route: RouteName
    idempotent: bool
    method: str
    path: str
    headers: tuple[Header, ...] = field(repr=False)
    idempotency_key: str | None = None
    request_id: str = ""
    notice: TargetNotice | None = None
    in_trial: bool = False


class RequestBody(Protocol):
    """The body of a request."""

    @property
    def length(self) -> int | None:
        """Return the length in bytes, or None if it is not known."""

    @property
    def inline(self) -> bytes | None:
        """Return the whole body if it is buffered in memory, else None."""

    @property
    def started(self) -> bool:
        """Return whether reading of a streamed body has begun; it can't be resent."""

    def read_chunks(self) -> Iterator[bytes]:
        """
        Yield the body in chunks; an inline body may be read several times.

        Raise `BodyError` if the body is truncated or not accepted.
        """


class BodyError(CorianderholdError):
    """The body of a request was truncated or is not accepted."""

    def __init__(self, detail: str, reason: Reason = Reason.REQUEST_MALFORMED) -> None:
        super().__init__(detail)
        self.reason = reason


class AnswerTruncatedError(CorianderholdError):
    """A response was truncated after its first chunk."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


@dataclass(frozen=True)
class InlineBody:
    """A small body that is buffered in memory."""

    inline: bytes

    @property
    def length(self) -> int:
        """Return the length in bytes."""
        return len(self.inline)

    @property
    def started(self) -> bool:
        """Return False, because an inline body can be resent."""
        return False

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body in one chunk, or nothing if it is empty."""
        if self.inline:
            yield self.inline


class StreamedBody:
    """A large body, which is read once as it arrives."""

    inline: bytes | None = None

    def __init__(self, chunks: Iterator[bytes], length: int | None) -> None:
        self._chunks = chunks
        self._started = False
        self._ended = False
        self._length = length

    @property
    def length(self) -> int | None:
        """Return the length in bytes, or None if it is not known."""
        return self._length

    @property
    def started(self) -> bool:
        """Return whether reading of the body has begun."""
        return self._started

    @property
    def is_cut(self) -> bool:
        """Return whether reading of the body has begun and not reached its end."""
        return self._started and not self._ended

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks, once."""
        self._started = True
        yield from self._chunks
        self._ended = True


@dataclass
class Response:
    """
    A response that has begun.

    `body` is the whole body, or None if it is streamed by `chunks`, which raises
    `AnswerTruncatedError` if the response is truncated. `close` must be called once.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes | None
    chunks: Iterator[bytes]
    close: Callable[[], None]
