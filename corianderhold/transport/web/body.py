"""Read request bodies from a connection."""

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
from corianderhold.transport.web.errors import RequestError, bad_request

CRLF = b"\r\n"
CHUNK_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?"
)
MILLISECONDS = 1000


class ConnectionReader:
    """Buffer the bytes of one connection with a non-blocking socket."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self.buffer = bytearray()

    def receive(self, size: int) -> bool:
        """Receive available bytes; return False once the connection is closed."""
        try:
            data = self._socket.recv(size)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.buffer += data
        return bool(data)

    def wait(self, deadline_at: float) -> None:
        """
        Wait for more bytes.

        Raise `TimeoutError` at the deadline, in monotonic seconds, or after
        PROGRESS_TIMEOUT_S without a byte, and `ConnectionError` when the caller
        closes the connection.
        """
        timeout_s = min(PROGRESS_TIMEOUT_S, deadline_at - time.monotonic())
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        if timeout_s <= 0 or not poll.poll(timeout_s * MILLISECONDS):
            raise TimeoutError("timed out waiting for more of the request body")
        if not self.receive(READ_BYTES):
            raise ConnectionError("connection closed within the request body")

    def take(self, size: int) -> bytes:
        """Remove and return the next `size` bytes, which must be buffered."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data


class BodyStream(Protocol):
    """
    Provide the body of a request as a WSGI input stream.

    Reads must finish by `deadline_at`, in monotonic seconds.
    """

    deadline_at: float

    @property
    def remaining_bytes(self) -> int | None:
        """Return the number of unread bytes, None if unknown."""

    def read(self, size: int | None = None) -> bytes:
        """
        Return `size` bytes, or fewer at the end; without a size, the whole rest.

        Raise `OSError` when the caller disconnects or misses the deadline, and
        `RequestError` when the body is too large or malformed.
        """


class SizedBody:
    """
    A body of known length.

    `send_continue` sends "100 Continue" if the caller waits for it.
    """

    def __init__(
        self, source: ConnectionReader, length: int, send_continue: Callable[[], None]
    ) -> None:
        self.deadline_at = math.inf
        self.remaining_bytes = length
        self._source = source
        self._send_continue = send_continue

    def read(self, size: int | None = None) -> bytes:
        """Return `size` bytes, or fewer at the end; without a size, the whole rest."""
        wanted = (
            self.remaining_bytes if size is None else min(size, self.remaining_bytes)
        )
        if not wanted:
            return b""
        self._send_continue()
        while len(self._source.buffer) < wanted:
            self._source.wait(self.deadline_at)
        self.remaining_bytes -= wanted
        return self._source.take(wanted)


class ChunkedBody:
    """A chunked body of at most `bytes_max` bytes."""

    def __init__(
        self,
        source: ConnectionReader,
        bytes_max: int,
        send_continue: Callable[[], None],
    ) -> None:
        self.deadline_at = math.inf
        self._source = source
        self._send_continue = send_continue
        self._allowed_bytes = bytes_max
        self._chunk_left = 0
        self._ended = False

    @property
    def remaining_bytes(self) -> int | None:
        """Return 0 once the end has been read, None before."""
        return 0 if self._ended else None

    def read(self, size: int | None = None) -> bytes:
        """Return `size` bytes, or fewer at the end; without a size, the whole rest."""
        parts = []
        wanted = math.inf if size is None else size
        self._send_continue()
        while wanted and not self._ended:
            if not self._chunk_left:
                self._read_chunk_size()
                continue
            part = self._read_part(wanted)
            wanted -= len(part)
            parts.append(part)
        return b"".join(parts)

    def _read_chunk_size(self) -> None:
        """Read the size line of the next chunk, or the trailer after the last one."""
        matched = CHUNK_SIZE_LINE.fullmatch(self._read_line(CHUNK_LINE_BYTES_MAX))
        if matched is None:
            raise bad_request("malformed chunk size line in the request body")
        self._chunk_left = int(matched[1], 16)
        if self._chunk_left > self._allowed_bytes:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise RequestError(
                status, "the chunked request body exceeds the size limit"
            )
        self._allowed_bytes -= self._chunk_left
        if self._chunk_left:
            return
        trailer_bytes_left = TRAILER_BYTES_MAX
        while line := self._read_line(trailer_bytes_left):
            trailer_bytes_left -= len(line)
        self._ended = True

    def _read_part(self, wanted: float) -> bytes:
        """Return received bytes of the chunk; read its line end after the last one."""
        if not self._source.buffer:
            self._source.wait(self.deadline_at)
        size = min(len(self._source.buffer), self._chunk_left, wanted)
        part = self._source.take(int(size))
        self._chunk_left -= len(part)
        if not self._chunk_left and self._read_line(0):
            raise bad_request("a chunk of the request body exceeds its stated size")
        return part

    def _read_line(self, bytes_max: int) -> bytes:
        """Return a line without its CRLF; raise `RequestError` over `bytes_max`."""
        buffer = self._source.buffer
        while True:
            end = buffer.find(CRLF, 0, bytes_max + len(CRLF))
            if end >= 0:
                return self._source.take(end + len(CRLF))[:end]
            if len(buffer) >= bytes_max + len(CRLF):
                raise bad_request(f"line in a chunked body exceeds {bytes_max} bytes")
            self._source.wait(self.deadline_at)
