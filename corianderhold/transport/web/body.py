"""Read the body of a request from its connection."""

import math
import re
import select
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from corianderhold.transport.web.const import (
    CHUNK_LINE_BYTES_MAX,
    PROGRESS_TIMEOUT_S,
    READ_BYTES,
    TRAILER_BYTES_MAX,
)
from corianderhold.transport.web.errors import RequestError, malformed

CRLF = b"\r\n"
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
MILLISECONDS = 1000


class ConnectionInput:
    """Take in the bytes of one connection, whose socket does not block."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self.buffer = bytearray()

    def receive(self, size: int) -> bool:
        """Take in what has come; return False at the end of the connection."""
        try:
            data = self._socket.recv(size)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.buffer += data
        return bool(data)

    def wait(self, give_up_at: float) -> None:
        """
        Wait for more bytes.

        Raise `TimeoutError` at `give_up_at`, in monotonic seconds, or when nothing
        comes, and `ConnectionError` when the caller breaks off.
        """
        left_s = min(PROGRESS_TIMEOUT_S, give_up_at - time.monotonic())
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        if left_s <= 0 or not poll.poll(left_s * MILLISECONDS):
            raise TimeoutError("no more of the body came")
        if not self.receive(READ_BYTES):
            raise ConnectionError("the connection ended within the body")

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes, which have come."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data


class BodyStream(Protocol):
    """
    Give the body of a request as a WSGI input.

    `left` is the number of bytes that were not read, None while it is not known.
    """

    give_up_at: float

    @property
    def left(self) -> int | None:
        """Return the number of bytes that were not read, None if it is not known."""

    def read(self, size: int | None = None) -> bytes:
        """
        Return `size` bytes, all without a size, or fewer at the end.

        Raise `OSError` when the caller breaks off or is late, and `RequestError` when
        the body is too large or breaks HTTP.
        """


class SizedBody:
    """A body of a known length; `announce` asks the caller for it, if it waits."""

    def __init__(
        self, source: ConnectionInput, length: int, announce: Callable[[], None]
    ) -> None:
        self.give_up_at = math.inf
        self.left = length
        self._source = source
        self._announce = announce

    def read(self, size: int | None = None) -> bytes:
        """Return `size` bytes, all without a size, or fewer at the end."""
        wanted = self.left if size is None else min(size, self.left)
        if not wanted:
            return b""
        self._announce()
        while len(self._source.buffer) < wanted:
            self._source.wait(self.give_up_at)
        self.left -= wanted
        return self._source.take(wanted)


class ChunkedBody:
    """A body in chunks, of `bytes_max` at most."""

    def __init__(
        self, source: ConnectionInput, bytes_max: int, announce: Callable[[], None]
    ) -> None:
        self.give_up_at = math.inf
        self._source = source
        self._announce = announce
        self._room = bytes_max
        self._chunk_left = 0
        self._ended = False

    @property
    def left(self) -> int | None:
        """Return 0 once the end was read."""
        return 0 if self._ended else None

    def read(self, size: int | None = None) -> bytes:
        """Return `size` bytes, all without a size, or fewer at the end."""
        parts = []
        wanted = math.inf if size is None else size
        self._announce()
        while wanted and not self._ended:
            if not self._chunk_left:
                self._open_chunk()
                continue
            part = self._read_part(wanted)
            wanted -= len(part)
            parts.append(part)
        return b"".join(parts)

    def _open_chunk(self) -> None:
        """Read the line before a chunk, or the trailer after the last one."""
        matched = CHUNK_LINE.fullmatch(self._read_line(CHUNK_LINE_BYTES_MAX))
        if matched is None:
            raise malformed("size of a chunk")
        self._chunk_left = int(matched[1], 16)
        if self._chunk_left > self._room:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise RequestError(status, "the body grew over the limit")
        self._room -= self._chunk_left
        if self._chunk_left:
            return
        room = TRAILER_BYTES_MAX
        while line := self._read_line(room):
            room -= len(line)
        self._ended = True

    def _read_part(self, wanted: float) -> bytes:
        """Return what has come of the chunk, and read the end of a whole one."""
        if not self._source.buffer:
            self._source.wait(self.give_up_at)
        size = min(len(self._source.buffer), self._chunk_left, wanted)
        part = self._source.take(int(size))
        self._chunk_left -= len(part)
        if not self._chunk_left and self._read_line(0):
            raise malformed("a chunk is longer than its size")
        return part

    def _read_line(self, bytes_max: int) -> bytes:
        """Return a line without its end; raise `RequestError` for a longer one."""
        buffer = self._source.buffer
        while True:
            end = buffer.find(CRLF, 0, bytes_max + len(CRLF))
            if end >= 0:
                return self._source.take(end + len(CRLF))[:end]
            if len(buffer) >= bytes_max + len(CRLF):
                raise malformed("line in a chunked body")
            self._source.wait(self.give_up_at)
