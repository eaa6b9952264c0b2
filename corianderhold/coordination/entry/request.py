"""Read a caller's request from the WSGI environment."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from http import HTTPStatus
from itertools import chain

from corianderhold.coordination.call import (
    BodyError,
    InlineBody,
    RequestBody,
    StreamedBody,
)
from corianderhold.protocol.headers import (
    BEARER_PREFIX,
    HeaderNames,
    encode_value,
    is_forwarded_to_target,
)
from corianderhold.protocol.peer.const import CHUNK_BYTES, INLINE_BODY_BYTES
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason
from corianderhold.transport.web.body import BodyStream
from corianderhold.transport.web.const import HEADER_NAMES_CACHED
from corianderhold.transport.web.errors import RequestError
from corianderhold.transport.web.head import list_tokens
from corianderhold.transport.web.server import Environ

DIGITS_MAX = 12


@dataclass(frozen=True)
class WebRequest:
    """
    One HTTP request.

    `path` is the raw path and `query` the rest, with its question mark. `key` and
    `context_token` are None if the caller sent none, `deadline_ms` also if the time
    could not be parsed.
    """

    method: str
    host: str
    path: str
    query: str
    headers: tuple[Header, ...] = field(repr=False)
    key: str | None = field(repr=False)
    context_token: str | None = field(repr=False)
    idempotency_key: str | None
    request_id: str = ""
    deadline_ms: int | None = None


class RequestReader:
    """
    Read the requests to a daemon beside a target of `caller_service`.

    Headers that only daemons may set are dropped, whatever the caller sent. A header
    with `caller_service` is added unless that is empty.
    """

    def __init__(self, names: HeaderNames, caller_service: str) -> None:
        self._request_id_header = names.request_id
        self._request_id = build_variable_name(names.request_id)
        self._deadline_ms = build_variable_name(names.deadline_ms)
        self._idempotency_key = build_variable_name(names.idempotency_key or "")
        self._context = build_variable_name(names.context or "")
        self._reserved = frozenset(
            name.lower()
            for name in (
                names.organisation,
                names.importance,
                names.deadline_ms,
                names.context,
                names.caller_service,
                names.expected_target,
            )
            if name
        )
        self._find_name = lru_cache(HEADER_NAMES_CACHED)(self._build_header_name)
        self._added: tuple[Header, ...] = ()
        if caller_service:
            self._added = (Header(names.caller_service, encode_value(caller_service)),)

    def read_request_id(self, environ: Environ) -> str:
        """Return the caller's request id, or an empty string."""
        text: str = environ.get(self._request_id, "")
        return text

    def echo_request_id(self, environ: Environ) -> list[tuple[str, str]]:
        """Return the response header with the request id, if the caller sent one."""
        request_id = self.read_request_id(environ)
        return [(self._request_id_header, request_id)] if request_id else []

    def read(self, environ: Environ) -> WebRequest:
        """Parse the request without its body."""
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
            headers=(*self._read_headers(environ, key), *self._added),
            key=key,
            context_token=environ.get(self._context),
            idempotency_key=environ.get(self._idempotency_key),
            request_id=self.read_request_id(environ),
            deadline_ms=read_milliseconds(environ.get(self._deadline_ms, "")),
        )

    def _read_headers(self, environ: Environ, key: str | None) -> list[Header]:
        """Return the headers to forward to a target, without any that hold the key."""
        headers = []
        named = environ.get("HTTP_CONNECTION")
        hop_by_hop = list_tokens(named) if named else frozenset()
        for variable, value in environ.items():
            name = self._find_name(variable)
            if name is None or (key and key in value):
                continue
            if not hop_by_hop or name.lower() not in hop_by_hop:
                headers.append(Header(name, value))
        return headers

    def _build_header_name(self, variable: str) -> str | None:
        """Return a variable's header name, or None if it must not be forwarded."""
        if variable == "CONTENT_TYPE":
            return "Content-Type"
        if not variable.startswith("HTTP_"):
            return None
        name = variable[len("HTTP_") :].replace("_", "-").title()
        if name.lower() in self._reserved or not is_forwarded_to_target(name):
            return None
        return name


def build_variable_name(header: str) -> str:
    """Return the WSGI environment variable of a header."""
    return "HTTP_" + header.upper().replace("-", "_")


def read_milliseconds(text: str) -> int | None:
    """Parse a number of milliseconds; return None if it is invalid."""
    if not (text.isascii() and text.isdigit() and len(text) <= DIGITS_MAX):
        return None
    return int(text)


def read_body(environ: Environ, deadline_at: float) -> RequestBody:
    """
    Return the request's body, buffered in memory if it is small.

    The whole body has to arrive by `deadline_at`, in monotonic seconds. Raise
    `BodyError` if a small body is incomplete, too large or late.
    """
    length = read_length(environ)
    stream: BodyStream = environ["wsgi.input"]
    stream.deadline_at = deadline_at
    if length == 0:
        return InlineBody(b"")
    if length is not None and length <= INLINE_BODY_BYTES:
        return InlineBody(read_bytes(stream, length))
    if length is not None:
        return StreamedBody(stream_to_end(stream), length)
    first = read_bytes(stream, INLINE_BODY_BYTES + 1)
    if len(first) <= INLINE_BODY_BYTES:
        return InlineBody(first)
    return StreamedBody(chain((first,), stream_to_end(stream)), None)


def read_length(environ: Environ) -> int | None:
    """Return the body's length in bytes, or None for a chunked body."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        return None
    return int(environ.get("CONTENT_LENGTH") or "0")


def read_bytes(stream: BodyStream, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end; raise `BodyError` on failure."""
    try:
        return stream.read(size)
    except RequestError as error:
        too_large = error.status is HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        reason = Reason.BODY_TOO_LARGE if too_large else Reason.REQUEST_MALFORMED
        raise BodyError(error.detail, reason) from error
    except TimeoutError as error:
        raise BodyError(
            "the request body did not arrive before the deadline",
            Reason.DEADLINE_PASSED,
        ) from error
    except OSError as error:
        raise BodyError(f"the caller's connection failed: {error}") from error


def stream_to_end(stream: BodyStream) -> Iterator[bytes]:
    """Yield the rest of a body in chunks; raise `BodyError` if it is truncated."""
    while data := read_bytes(stream, CHUNK_BYTES):
        yield data
