"""Read a caller's request out of the WSGI environment."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import BinaryIO

from corianderhold.coordination.call import (
    BodyError,
    InlineBody,
    RequestBody,
    StreamedBody,
)
from corianderhold.protocol.headers import BEARER_PREFIX, may_reach_target
from corianderhold.protocol.peer.const import CHUNK_BYTES, INLINE_BODY_BYTES
from corianderhold.protocol.peer.messages import Header
from corianderhold.transport.web.server import Environ


@dataclass(frozen=True)
class WebRequest:
    """
    One HTTP request.

    `path` is the raw path, `query` what follows it from the question mark on; `key`
    and `context_token` are None when the caller sent none.
    """

    method: str
    host: str
    path: str
    query: str
    headers: tuple[Header, ...] = field(repr=False)
    key: str | None = field(repr=False)
    context_token: str | None = field(repr=False)
    idempotency_key: str | None


def read_request(environ: Environ) -> WebRequest:
    """Return the request's head; headers that must not reach a target are left out."""
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    key = None
    if authorization.startswith(BEARER_PREFIX):
        key = authorization[len(BEARER_PREFIX) :].strip()
    path, mark, query = environ["REQUEST_URI"].partition("?")
    return WebRequest(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", ""),
        path=path,
        query=mark + query,
        headers=tuple(read_headers(environ, key)),
        key=key,
        context_token=environ.get("HTTP_X_CORIANDERHOLD_CONTEXT"),
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
    )


def read_headers(environ: Environ, key: str | None) -> Iterator[Header]:
    """Yield the headers that may reach a target; none of them holds the key."""
    if environ.get("CONTENT_TYPE"):
        yield Header("Content-Type", environ["CONTENT_TYPE"])
    for variable, value in environ.items():
        if not variable.startswith("HTTP_"):
            continue
        name = variable[len("HTTP_") :].replace("_", "-").title()
        if may_reach_target(name) and not (key and key in value):
            yield Header(name, value)


def read_body(environ: Environ) -> RequestBody:
    """
    Return the request's body, held in memory when it is small.

    Raise `BodyError` when the caller breaks off within a small body.
    """
    length = read_length(environ)
    stream: BinaryIO = environ["wsgi.input"]
    if length is not None and length <= INLINE_BODY_BYTES:
        return InlineBody(read_exactly(stream, length))
    if length is not None:
        return StreamedBody(stream_exactly(stream, length), length)
    first = stream.read(INLINE_BODY_BYTES + 1)
    if len(first) <= INLINE_BODY_BYTES:
        return InlineBody(first)
    return StreamedBody(stream_to_end(stream, first), None)


def read_length(environ: Environ) -> int | None:
    """Return the body's length in bytes, or None for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    return int(text)


def read_exactly(stream: BinaryIO, length: int) -> bytes:
    """Return `length` bytes or raise `BodyError`."""
    return b"".join(stream_exactly(stream, length))


def stream_exactly(stream: BinaryIO, length: int) -> Iterator[bytes]:
    """Yield `length` bytes in parts; raise `BodyError` when fewer come."""
    left = length
    while left:
        try:
            data = stream.read(min(left, CHUNK_BYTES))
        except (OSError, ValueError) as error:
            raise BodyError(f"the caller broke off: {error}") from error
        if not data:
            raise BodyError("the caller broke off within the body")
        left -= len(data)
        yield data


def stream_to_end(stream: BinaryIO, first: bytes) -> Iterator[bytes]:
    """Yield a chunked body in parts; raise `BodyError` when it breaks off."""
    yield first
    while True:
        try:
            data = stream.read(CHUNK_BYTES)
        except (OSError, ValueError) as error:
            raise BodyError(f"the caller broke off: {error}") from error
        if not data:
            return
        yield data
