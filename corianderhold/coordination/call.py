"""Model a call on its way through a daemon."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from corianderhold.errors import CorianderholdError
from corianderhold.ids import CallId, OrganisationId, RootId, RouteName, ServiceName
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason, Refusal


@dataclass(frozen=True, slots=True)
class CallContext:
    """
    What a call is and for whom it runs.

    `deadline_at` is in seconds on this daemon's monotonic clock. `depth` is 0 for a
    root request and one more for each nested call. `request_id` is what the caller
    named the request.
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


class RequestBody(Protocol):
    """Give the bytes of a request's body."""

    @property
    def length(self) -> int | None:
        """Return the length in bytes, or None when it is not known."""

    @property
    def inline(self) -> bytes | None:
        """Return the whole body when it is small enough to be held, else None."""

    @property
    def started(self) -> bool:
        """Return whether a body that is not inline has been read from."""

    def read_chunks(self) -> Iterator[bytes]:
        """
        Yield the body in parts; an inline body may be read many times.

        Raise `BodyError` when the sender breaks off.
        """


class BodyError(CorianderholdError):
    """The sender of a request's body broke off, or sent what is not accepted."""

    def __init__(self, detail: str, reason: Reason = Reason.REQUEST_MALFORMED) -> None:
        super().__init__(detail)
        self.reason = reason


class AnswerTruncatedError(CorianderholdError):
    """An answer broke off after its first part."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


@dataclass(frozen=True)
class InlineBody:
    """Hold a small body in memory."""

    inline: bytes

    @property
    def length(self) -> int:
        """Return the length in bytes."""
        return len(self.inline)

    @property
    def started(self) -> bool:
        """Return False: an inline body can be read again."""
        return False

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body in one part."""
        if self.inline:
            yield self.inline


class StreamedBody:
    """Read a large body once, as it comes."""

    inline: bytes | None = None

    def __init__(self, chunks: Iterator[bytes], length: int | None) -> None:
        self._chunks = chunks
        self._started = False
        self._length = length

    @property
    def length(self) -> int | None:
        """Return the length in bytes, or None when it is not known."""
        return self._length

    @property
    def started(self) -> bool:
        """Return whether some of the body has been read."""
        return self._started

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body in parts, once."""
        self._started = True
        yield from self._chunks


@dataclass
class Answer:
    """
    An answer that has begun.

    `body` is the whole body, or None when it comes from `chunks`, which raises
    `AnswerTruncatedError` when the answer breaks off. `close` must be called once.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes | None
    chunks: Iterator[bytes]
    close: Callable[[], None]
