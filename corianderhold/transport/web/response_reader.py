"""Parse HTTP responses strictly; a truncated one never appears complete."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from corianderhold.protocol.peer.messages import Header
from corianderhold.transport.web.const import (
    CHUNK_LINE_BYTES_MAX,
    HEADER_BYTES_MAX,
    INTERIM_RESPONSES_MAX,
)
from corianderhold.transport.web.errors import AnswerError

Receive = Callable[[float], bytes]
CRLF = b"\r\n"
HEAD_END = CRLF + CRLF
VERSION_START = b"HTTP/1."
FIELD_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: " + FIELD_TEXT + rb")?")
INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.1 1(?!01)")
RESPONSE_START = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] ")
HEADER_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(" + FIELD_TEXT + rb")"
)
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;" + FIELD_TEXT + rb")?")
CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})", re.IGNORECASE)
BODILESS_STATUSES = frozenset({204, 304})
SWITCHING_PROTOCOLS = 101
FINAL_STATUS_MIN = 200
FRAMING_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive"}
)


@dataclass(frozen=True, slots=True)
class HttpResponseHead:
    """
    The status line and headers of a response.

    The body has `length` bytes. If that is None, the body is chunked or extends to the
    end of the connection. With `keep_alive` the connection may be reused within
    `keep_alive_timeout_s` seconds of the response's end, None if the target names no
    time-out.
    """

    status: int
    headers: tuple[Header, ...]
    length: int | None
    chunked: bool
    keep_alive: bool
    keep_alive_timeout_s: float | None

    @property
    def has_known_end(self) -> bool:
        """Return whether the end of the body is marked by its length or last chunk."""
        return self.chunked or self.length is not None


class ResponseReader:
    """
    Read the responses received on one connection.

    `receive` takes a deadline on the monotonic clock and returns the next bytes, or
    none once the peer has closed the connection cleanly; it raises OSError otherwise.
    All methods raise `AnswerError` for bytes that are not a valid response.
    """

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._buffer = b""

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether received bytes have not been read yet."""
        return bool(self._buffer)

    def read_head(self, method: str, deadline_at: float) -> HttpResponseHead:
        """Return the head of the final response; interim responses are skipped."""
        for _ in range(INTERIM_RESPONSES_MAX):
            head = parse_head(self._take_head(deadline_at), method)
            if head.status >= FINAL_STATUS_MIN:
                if head.length != 0 and RESPONSE_START.match(self._buffer):
                    raise AnswerError(
                        "received another response head in place of the body"
                    )
                return head
            if head.status == SWITCHING_PROTOCOLS:
                raise AnswerError("the target switched protocols (status 101)")
        raise AnswerError(
            f"no final response after {INTERIM_RESPONSES_MAX} interim ones"
        )

    def read_body(self, head: HttpResponseHead, deadline_at: float) -> Iterator[bytes]:
        """Yield the body in parts; it is complete unless an error is raised."""
        if head.chunked:
            return self._read_chunked(deadline_at)
        if head.length is None:
            return self._read_until_end(deadline_at)
        return self._read_exactly(head.length, deadline_at)

    def has_response_started(self, deadline_at: float) -> bool:
        """Receive available bytes; return whether they go beyond interim responses."""
        self._receive_more(deadline_at)
        while INTERIM_STATUS_LINE.match(self._buffer):
            end = self._buffer.find(HEAD_END)
            if end < 0:
                break
            self._take(end, len(HEAD_END))
        return self.has_unread_bytes

    def _take_head(self, deadline_at: float) -> bytes:
        while (end := self._buffer.find(HEAD_END)) < 0:
            if len(self._buffer) > HEADER_BYTES_MAX:
                raise AnswerError(f"response head exceeds {HEADER_BYTES_MAX} bytes")
            start = self._buffer[: len(VERSION_START)]
            if not VERSION_START.startswith(start):
                raise AnswerError("the target did not send an HTTP/1 response")
            self._receive_more(deadline_at)
        if end > HEADER_BYTES_MAX:
            raise AnswerError(
                f"response head of {end} bytes exceeds {HEADER_BYTES_MAX} bytes"
            )
        return self._take(end, len(HEAD_END))

    def _read_exactly(self, length: int, deadline_at: float) -> Iterator[bytes]:
        remaining = length
        while remaining:
            if not self._buffer:
                self._receive_more(deadline_at)
            data = self._take(min(remaining, len(self._buffer)))
            remaining -= len(data)
            yield data

    def _read_chunked(self, deadline_at: float) -> Iterator[bytes]:
        while True:
            matched = CHUNK_SIZE_LINE.fullmatch(self._take_line(deadline_at))
            if matched is None:
                raise AnswerError("malformed chunk size line in the response")
            size = int(matched[1], 16)
            if not size:
                break
            yield from self._read_exactly(size, deadline_at)
            if self._take_line(deadline_at):
                raise AnswerError(f"chunk exceeds its stated size of {size} bytes")
        for _ in range(HEADER_BYTES_MAX // CHUNK_LINE_BYTES_MAX):
            if not self._take_line(deadline_at):
                return
        raise AnswerError("too many trailer lines in the response")

    def _read_until_end(self, deadline_at: float) -> Iterator[bytes]:
        data = self._take(len(self._buffer))
        while True:
            if data:
                yield data
            data = self._receive(deadline_at)
            if not data:
                return

    def _take_line(self, deadline_at: float) -> bytes:
        while (end := self._buffer.find(CRLF)) < 0:
            if len(self._buffer) > CHUNK_LINE_BYTES_MAX:
                raise AnswerError(
                    f"line in chunked response exceeds {CHUNK_LINE_BYTES_MAX} bytes"
                )
            self._receive_more(deadline_at)
        return self._take(end, len(CRLF))

    def _take(self, size: int, skipped_bytes: int = 0) -> bytes:
        """Remove and return `size` bytes of the buffer, then drop `skipped_bytes`."""
        data = self._buffer[:size]
        self._buffer = self._buffer[size + skipped_bytes :]
        return data

    def _receive_more(self, deadline_at: float) -> None:
        data = self._receive(deadline_at)
        if not data:
            raise AnswerError("connection closed before the end of the response")
        self._buffer = self._buffer + data if self._buffer else data


def parse_head(data: bytes, method: str) -> HttpResponseHead:
    """Parse the head of the response to a request with this method."""
    first, *lines = data.split(CRLF)
    matched = STATUS_LINE.fullmatch(first)
    if matched is None:
        raise AnswerError("malformed status line in the response")
    headers = []
    framing: dict[str, str] = {}
    for line in lines:
        parts = HEADER_LINE.fullmatch(line)
        if parts is None:
            raise AnswerError("malformed header line in the response")
        name, value = parts[1].decode("ascii"), parts[2].decode("latin-1").rstrip()
        headers.append(Header(name, value))
        lower_name = name.lower()
        if lower_name in FRAMING_HEADERS:
            record_framing_header(framing, lower_name, value)
    status = int(matched[2])
    length, chunked = determine_body_length(method, status, framing)
    keep, keep_s = parse_keep_alive(matched[1] == b"1", framing)
    return HttpResponseHead(status, tuple(headers), length, chunked, keep, keep_s)


def record_framing_header(framing: dict[str, str], name: str, value: str) -> None:
    """Record a header that frames the body or controls connection reuse."""
    if name not in framing:
        framing[name] = value
    elif name in ("connection", "keep-alive"):
        framing[name] += "," + value
    else:
        raise AnswerError(f"repeated {name} header in the response")


def determine_body_length(
    method: str, status: int, framing: dict[str, str]
) -> tuple[int | None, bool]:
    """Return the body length, None if unknown, and whether the body is chunked."""
    encoding = framing.get("transfer-encoding")
    length = framing.get("content-length")
    if encoding is not None and (length is not None or encoding.lower() != "chunked"):
        raise AnswerError(
            "ambiguous response length: unsupported or combined Transfer-Encoding"
        )
    if length is not None and CONTENT_LENGTH.fullmatch(length) is None:
        raise AnswerError("malformed Content-Length in the response")
    if method == "HEAD" or status in BODILESS_STATUSES or status < FINAL_STATUS_MIN:
        return 0, False
    if encoding is not None:
        return None, True
    return (None if length is None else int(length)), False


def parse_keep_alive(
    is_http_1_1: bool, framing: dict[str, str]
) -> tuple[bool, float | None]:
    """Return whether the connection may be reused, and its keep-alive time-out."""
    tokens = framing.get("connection", "").lower().replace(" ", "").split(",")
    keep = "close" not in tokens and (is_http_1_1 or "keep-alive" in tokens)
    matched = KEEP_ALIVE_TIMEOUT.search(framing.get("keep-alive", ""))
    return keep, float(matched[1]) if matched else None
