"""Serve the requests of a caller's connection one after another."""

import contextlib
import select
import socket
import struct
import time
from fcntl import ioctl
from http import HTTPStatus
from termios import TIOCOUTQ
from typing import Any

from cheroot.server import HTTPConnection

from corianderhold.log import log_event
from corianderhold.protocol.headers import HEADER_RETRY_AFTER, HEADER_VERDICT
from corianderhold.protocol.verdict import RunState
from corianderhold.state.configuration.model import CallerLimits
from corianderhold.transport.web.body import ConnectionReader
from corianderhold.transport.web.const import (
    HAND_OVER_BUFFER_BYTES,
    HEAD_READ_BYTES,
    LINGER_TIMEOUT_S,
    PROGRESS_TIMEOUT_S,
)
from corianderhold.transport.web.errors import RequestError, bad_request
from corianderhold.transport.web.exchange import Exchange
from corianderhold.transport.web.head import CRLF, HTTP_1_0, parse_request_head

HEAD_END = b"\r\n\r\n"
BARE_LF_HEAD_END = b"\n\n"
MILLISECONDS = 1000
SERVER_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
COUNT = struct.Struct("i")


class CallerConnection(HTTPConnection):
    """
    One connection of a caller.

    No thread is held while it waits for a request head: a worker calls `communicate`
    when bytes can be read, and keeps the connection only while complete request heads
    are buffered.
    """

    def __init__(self, server: Any, sock: socket.socket, makefile: object) -> None:
        # cheroot's initialiser would open two buffered files.
        self.server = server
        self.socket = sock
        self.input = ConnectionReader(sock)
        self.requests_seen = 0
        self._waiting_since = time.monotonic()
        self._head_started_at: float | None = None
        self._discard_bytes = 0
        self._linger_until: float | None = None
        self._reset_on_close = False
        self._has_grown = False
        self._undelivered_bytes = 0
        self._progress_at = self._waiting_since

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has been received."""
        waits = self._head_started_at is not None or self._discard_bytes > 0
        return not waits and self._linger_until is None

    def compute_deadline(self, limits: CallerLimits) -> float:
        """Return the end of the present wait, in monotonic seconds."""
        if self._linger_until is not None:
            return self._linger_until
        if self._head_started_at is not None:
            return self._head_started_at + limits.header_timeout_s
        limit_s = (
            limits.header_timeout_s if self._discard_bytes else limits.idle_timeout_s
        )
        return self._waiting_since + limit_s

    def is_delivering(self) -> bool:
        """
        Return whether the caller is still taking bytes of a response.

        A caller that takes nothing for PROGRESS_TIMEOUT_S does not count.
        """
        now = time.monotonic()
        undelivered_bytes = count_undelivered_bytes(self.socket)
        if undelivered_bytes != self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._progress_at = now
        return undelivered_bytes > 0 and now - self._progress_at < PROGRESS_TIMEOUT_S

    def communicate(self) -> bool:
        """Serve the received requests; return whether to wait for more."""
        if not self.input.receive(HEAD_READ_BYTES):
            return False
        keep_open = True
        try:
            while keep_open and self._linger_until is None:
                head = self._take_head()
                if head is None:
                    break
                keep_open = self._serve_request(head)
                if self.input.buffer and self._has_disconnected():
                    return False
        except RequestError as error:
            self.refuse(error)
        if self._linger_until is not None:
            self.input.buffer.clear()
        self._waiting_since = time.monotonic()
        return keep_open

    def send(self, data: bytes) -> None:
        """
        Send all of `data`.

        Raise `TimeoutError` when the caller accepts no bytes for PROGRESS_TIMEOUT_S and
        `OSError` when the connection is broken.
        """
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.socket.send(unsent) :]
            except BlockingIOError:
                if not (self.server.is_handing_over and self.grow_send_buffer()):
                    self._wait_until_writable()

    def grow_send_buffer(self) -> bool:
        """
        Let the kernel hold more unread bytes; return False if it has been done.

        It delivers them to the caller also after this process has ended.
        """
        if self._has_grown:
            return False
        self._has_grown = True
        level, option = socket.SOL_SOCKET, socket.SO_SNDBUF
        with contextlib.suppress(OSError):
            # The kernel doubles the value that is set, and reports the double.
            if self.socket.getsockopt(level, option) < 2 * HAND_OVER_BUFFER_BYTES:
                self.socket.setsockopt(level, option, HAND_OVER_BUFFER_BYTES)
        return True

    def refuse(self, error: RequestError, *, may_block: bool = True) -> None:
        """
        Respond to a request that can't be served and end the connection.

        Unless it may block, the response is cut off if earlier ones are still unread.
        """
        status, body = error.status, error.detail.encode()
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            "Content-Type: text/plain",
            f"Content-Length: {len(body)}",
            f"{HEADER_VERDICT}: {RunState.NOT_RUN.value}",
            "Connection: close",
        ]
        if status is HTTPStatus.REQUEST_TIMEOUT:
            lines.append(f"{HEADER_RETRY_AFTER}: 1")
        log_event("http_request_refused", status=status.value, detail=error.detail)
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._linger(head + body, may_block=may_block)

    def close_timed_out(self) -> None:
        """Close a connection whose wait timed out; send 408 if a head was started."""
        if self._head_started_at is not None:
            status = HTTPStatus.REQUEST_TIMEOUT
            error = RequestError(status, "timed out waiting for the request head")
            self.refuse(error, may_block=False)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            if self._reset_on_close:
                option = socket.SO_LINGER
                self.socket.setsockopt(socket.SOL_SOCKET, option, RESET_ON_CLOSE)
            else:
                self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.server.forget_connection(self)

    def abort(self) -> None:
        """Abort the exchange in progress by waking the thread that serves it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def _has_disconnected(self) -> bool:
        """Return whether the caller closed its side after what it sent."""
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def _take_head(self) -> bytes | None:
        """Return the next head, None if incomplete; raise `RequestError`."""
        buffer = self.input.buffer
        if self._discard_bytes:
            skipped = min(self._discard_bytes, len(buffer))
            self._discard_bytes -= skipped
            del buffer[:skipped]
        while buffer.startswith(CRLF):
            del buffer[: len(CRLF)]
        if not buffer:
            self._head_started_at = None
            return None
        end = buffer.find(HEAD_END)
        self._check_head(end)
        if end < 0:
            self._head_started_at = self._head_started_at or time.monotonic()
            return None
        self._head_started_at = None
        return self.input.take(end + len(HEAD_END))[:end]

    def _check_head(self, end: int) -> None:
        """Raise `RequestError` for a head that is too long or lacks CRLF line ends."""
        buffer = self.input.buffer
        length = len(buffer) if end < 0 else end
        if length > self.server.limits.header_bytes_max:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise RequestError(status, f"request head of {length} bytes is too long")
        if end < 0 and BARE_LF_HEAD_END in buffer:
            raise bad_request("line without a carriage return in the request head")

    def _serve_request(self, data: bytes) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = parse_request_head(data)
        if head.content_length > self.server.limits.body_bytes_max:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise RequestError(status, "Content-Length exceeds the request body limit")
        exchange = Exchange(self.server, self, head)
        try:
            exchange.respond()
        except RequestError:
            if exchange.sent_headers:
                return False
            raise
        except Exception as error:  # noqa: BLE001
            return self._handle_failure(exchange, error)
        return self._finish(exchange)

    def _handle_failure(self, exchange: Exchange, error: Exception) -> bool:
        """Handle a failed response; return whether the connection stays open."""
        caller_left = exchange.sent_headers and isinstance(error, OSError)
        if not caller_left:
            self.server.error_log(repr(error))
        if exchange.sent_headers:
            # An HTTP/1.0 body ends with the connection; a reset marks it incomplete.
            self._reset_on_close = exchange.head.version == HTTP_1_0
            return False
        self._linger(SERVER_ERROR)
        return True

    def _finish(self, exchange: Exchange) -> bool:
        """Finish a complete response; return whether the connection stays open."""
        unread_bytes = exchange.body.remaining_bytes
        if not exchange.close_connection:
            self._discard_bytes = unread_bytes or 0
            return True
        has_more = unread_bytes != 0 or self.input.buffer or self._is_readable()
        if not has_more and not count_undelivered_bytes(self.socket):
            return False
        self._linger(b"")
        return True

    def _linger(self, data: bytes, *, may_block: bool = True) -> None:
        """
        Send the last bytes and leave the caller time to read them.

        A socket that is closed with unread bytes, or gets bytes afterwards, resets the
        connection, and the caller would lose what has not been delivered by then.
        """
        with contextlib.suppress(OSError):
            if data and may_block:
                self.send(data)
            elif data:
                self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)
        self._linger_until = time.monotonic() + LINGER_TIMEOUT_S

    def _wait_until_writable(self) -> None:
        poll = select.poll()
        poll.register(self.socket, select.POLLOUT)
        if not poll.poll(PROGRESS_TIMEOUT_S * MILLISECONDS):
            raise TimeoutError(f"caller accepted no bytes for {PROGRESS_TIMEOUT_S} s")


def count_undelivered_bytes(connection: socket.socket) -> int:
    """
    Return how many sent bytes the peer's host has not acknowledged.

    0 also if the connection is broken or its socket closed.
    """
    try:
        return int(COUNT.unpack(ioctl(connection, TIOCOUTQ, COUNT.pack(0)))[0])
    except (OSError, ValueError):
        return 0
