"""Read HTTP answers strictly: a broken one never looks like a whole one."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from corianderhold.protocol.peer.messages import Header
from corianderhold.transport.web.const import (
    CHUNK_LINE_BYTES_MAX,
    HEADER_BYTES_MAX,
    INTERIM_ANSWERS_MAX,
)
from corianderhold.transport.web.errors import AnswerError

Receive = Callable[[float], bytes]
CRLF = b"\r\n"
HEAD_END = CRLF + CRLF
VERSION_START = b"HTTP/1."
TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: " + TEXT + rb")?")
INTERIM = re.compile(rb"HTTP/1\.1 1(?!01)")
SECOND_HEAD = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] ")
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(" + TEXT + rb")")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;" + TEXT + rb")?")
LENGTH = re.compile(r"[0-9]{1,15}")
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})", re.IGNORECASE)
BODYLESS_STATUS = frozenset({204, 304})
SWITCHING_PROTOCOLS = 101
FINAL_STATUS = 200
FRAMING = frozenset({"content-length", "transfer-encoding", "connection", "keep-alive"})


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """
    The head of an answer.

    The body has `length` bytes; if that is None it comes in chunks, or else lasts until
    the end of the connection. The connection may be used again with `keep`, within
    `keep_s` seconds of the answer's end, None if the target does not say.
    """

    status: int
    headers: tuple[Header, ...]
    length: int | None
    chunked: bool
    keep: bool
    keep_s: float | None

    @property
    def has_known_end(self) -> bool:
        """Return whether the body ends before the connection does."""
        return self.chunked or self.length is not None


class AnswerReader:
    """
    Read the answers that come on one connection.

    `receive` returns the next bytes by a time on the monotonic clock, none at a clean
    end of the connection, and raises OSError otherwise. All methods raise `AnswerError`
    for bytes that are no answer.
    """

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._buffer = b""

    @property
    def has_rest(self) -> bool:
        """Return whether bytes have come that were not read yet."""
        return bool(self._buffer)

    def read_head(self, method: str, deadline_at: float) -> AnswerHead:
        """Return the head of the answer to a request; interim answers are skipped."""
        for _ in range(INTERIM_ANSWERS_MAX):
            head = parse_head(self._take_head(deadline_at), method)
            if head.status >= FINAL_STATUS:
                if head.length != 0 and SECOND_HEAD.match(self._buffer):
                    raise AnswerError("a second head came in place of the body")
                return head
            if head.status == SWITCHING_PROTOCOLS:
                raise AnswerError("the target switched protocols")
        raise AnswerError("too many interim answers came")

    def read_body(self, head: AnswerHead, deadline_at: float) -> Iterator[bytes]:
        """Yield the body in parts; one that ends is whole."""
        if head.chunked:
            return self._read_chunked(deadline_at)
        if head.length is None:
            return self._read_rest(deadline_at)
        return self._read_exactly(head.length, deadline_at)

    def has_begun(self, deadline_at: float) -> bool:
        """Take in what has come; return whether it is more than interim answers."""
        self._fill(deadline_at)
        while INTERIM.match(self._buffer):
            end = self._buffer.find(HEAD_END)
            if end < 0:
                break
            self._take(end, len(HEAD_END))
        return self.has_rest

    def _take_head(self, deadline_at: float) -> bytes:
        while (end := self._buffer.find(HEAD_END)) < 0:
            if len(self._buffer) > HEADER_BYTES_MAX:
                raise AnswerError("the head is too large")
            begun = self._buffer[: len(VERSION_START)]
            if not VERSION_START.startswith(begun):
                raise AnswerError("the bytes are no answer")
            self._fill(deadline_at)
        if end > HEADER_BYTES_MAX:
            raise AnswerError("the head is too large")
        return self._take(end, len(HEAD_END))

    def _read_exactly(self, length: int, deadline_at: float) -> Iterator[bytes]:
        left = length
        while left:
            if not self._buffer:
                self._fill(deadline_at)
            data = self._take(min(left, len(self._buffer)))
            left -= len(data)
            yield data

    def _read_chunked(self, deadline_at: float) -> Iterator[bytes]:
        while True:
            found = CHUNK_LINE.fullmatch(self._take_line(deadline_at))
            if found is None:
                raise AnswerError("a chunk has no size")
            size = int(found[1], 16)
            if not size:
                break
            yield from self._read_exactly(size, deadline_at)
            if self._take_line(deadline_at):
                raise AnswerError("a chunk is longer than its size")
        for _ in range(HEADER_BYTES_MAX // CHUNK_LINE_BYTES_MAX):
            if not self._take_line(deadline_at):
                return
        raise AnswerError("too many trailers came")

    def _read_rest(self, deadline_at: float) -> Iterator[bytes]:
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
                raise AnswerError("a line of a chunk is too long")
            self._fill(deadline_at)
        return self._take(end, len(CRLF))

    def _take(self, size: int, skipped: int = 0) -> bytes:
        """Return the next bytes of the buffer, and skip some after them."""
        data = self._buffer[:size]
        self._buffer = self._buffer[size + skipped :]
        return data

    def _fill(self, deadline_at: float) -> None:
        data = self._receive(deadline_at)
        if not data:
            raise AnswerError("the connection ended before the answer")
        self._buffer = self._buffer + data if self._buffer else data


def parse_head(data: bytes, method: str) -> AnswerHead:
    """Return the head of an answer to a request with this method."""
    first, *lines = data.split(CRLF)
    found = STATUS_LINE.fullmatch(first)
    if found is None:
        raise AnswerError("the status line is malformed")
    headers = []
    framing: dict[str, str] = {}
    for line in lines:
        parts = HEADER_LINE.fullmatch(line)
        if parts is None:
            raise AnswerError("a header is malformed")
        name, value = parts[1].decode("ascii"), parts[2].decode("latin-1").rstrip()
        headers.append(Header(name, value))
        lowered = name.lower()
        if lowered in FRAMING:
            note_framing(framing, lowered, value)
    status = int(found[2])
    length, chunked = find_end(method, status, framing)
    keep, keep_s = find_keeping(found[1] == b"1", framing)
    return AnswerHead(status, tuple(headers), length, chunked, keep, keep_s)


def note_framing(framing: dict[str, str], name: str, value: str) -> None:
    """Take in a header that says where the answer or its connection ends."""
    if name not in framing:
        framing[name] = value
    elif name in ("connection", "keep-alive"):
        framing[name] += "," + value
    else:
        raise AnswerError(f"{name} came twice")


def find_end(
    method: str, status: int, framing: dict[str, str]
) -> tuple[int | None, bool]:
    """Return the length of the body, and whether it comes in chunks."""
    encoding = framing.get("transfer-encoding")
    length = framing.get("content-length")
    if encoding is not None and (length is not None or encoding.lower() != "chunked"):
        raise AnswerError("the end of the body is ambiguous")
    if length is not None and LENGTH.fullmatch(length) is None:
        raise AnswerError("the length is malformed")
    if method == "HEAD" or status in BODYLESS_STATUS or status < FINAL_STATUS:
        return 0, False
    if encoding is not None:
        return None, True
    return (None if length is None else int(length)), False


def find_keeping(modern: bool, framing: dict[str, str]) -> tuple[bool, float | None]:
    """Return whether the connection may be used again, and for how many seconds."""
    words = framing.get("connection", "").lower().replace(" ", "").split(",")
    keep = "close" not in words and (modern or "keep-alive" in words)
    found = KEEP_ALIVE_TIMEOUT.search(framing.get("keep-alive", ""))
    return keep, float(found[1]) if found else None
