"""Serve the requests of one caller's connection, one after the other."""

import contextlib
import select
import socket
import struct
import time
from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPConnection

from corianderhold.log import log_event
from corianderhold.protocol.headers import HEADER_RETRY_AFTER, HEADER_VERDICT
from corianderhold.protocol.verdict import RunState
from corianderhold.state.configuration.model import CallerLimits
from corianderhold.transport.web.body import ConnectionInput
from corianderhold.transport.web.const import (
    HEAD_READ_BYTES,
    LINGER_TIMEOUT_S,
    PROGRESS_TIMEOUT_S,
)
from corianderhold.transport.web.errors import RequestError, malformed
from corianderhold.transport.web.exchange import Exchange
from corianderhold.transport.web.head import CRLF, HTTP_1_0, read_head

HEAD_END = b"\r\n\r\n"
BARE_HEAD_END = b"\n\n"
MILLISECONDS = 1000
SERVER_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection(HTTPConnection):
    """
    One connection of a caller.

    It waits for a head without a thread: a thread calls `communicate` when something
    came, and keeps the connection only while whole requests are there.
    """

    def __init__(self, server: Any, sock: socket.socket, makefile: object) -> None:
        # The library's initialiser would open two buffered files.
        self.server = server
        self.socket = sock
        self.input = ConnectionInput(sock)
        self.requests_seen = 0
        self._waits_since = time.monotonic()
        self._began_at: float | None = None
        self._skip = 0
        self._lingers_until: float | None = None
        self._resets = False

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has come."""
        waits = self._began_at is not None or self._skip > 0
        return not waits and self._lingers_until is None

    def find_timeout(self, limits: CallerLimits) -> float:
        """Return until when the connection may wait, in monotonic seconds."""
        if self._lingers_until is not None:
            return self._lingers_until
        if self._began_at is not None:
            return self._began_at + limits.header_timeout_s
        limit_s = limits.header_timeout_s if self._skip else limits.idle_timeout_s
        return self._waits_since + limit_s

    def communicate(self) -> bool:
        """Serve the requests that have come; return whether to wait for more."""
        if not self.input.receive(HEAD_READ_BYTES):
            return False
        keeps = True
        try:
            while keeps and self._lingers_until is None:
                head = self._take_head()
                if head is None:
                    break
                keeps = self._serve(head)
                if self.input.buffer and self._has_left():
                    return False
        except RequestError as error:
            self.refuse(error)
        if self._lingers_until is not None:
            self.input.buffer.clear()
        self._waits_since = time.monotonic()
        return keeps

    def send(self, data: bytes) -> None:
        """
        Send all of `data`.

        Raise `TimeoutError` when the caller takes nothing for PROGRESS_TIMEOUT_S and
        `OSError` when it is gone.
        """
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.socket.send(rest) :]
            except BlockingIOError:
                self._wait_until_writable()

    def refuse(self, error: RequestError) -> None:
        """Answer a request that can't be served and end the connection."""
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
        self._linger("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    def give_up_waiting(self) -> None:
        """Close a connection that waited too long; tell who has begun a request."""
        if self._began_at is not None:
            status = HTTPStatus.REQUEST_TIMEOUT
            self.refuse(RequestError(status, "the head did not come in time"))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            if self._resets:
                option = socket.SO_LINGER
                self.socket.setsockopt(socket.SOL_SOCKET, option, RESET_ON_CLOSE)
            else:
                self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def shut_down(self) -> None:
        """Wake the thread that serves the connection; its exchange breaks off."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def _has_left(self) -> bool:
        """Return whether the caller closed the connection, behind what it sent."""
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def _take_head(self) -> bytes | None:
        """Return the next head, None before it is whole; raise `RequestError`."""
        buffer = self.input.buffer
        if self._skip:
            skipped = min(self._skip, len(buffer))
            self._skip -= skipped
            del buffer[:skipped]
        while buffer.startswith(CRLF):
            del buffer[: len(CRLF)]
        if not buffer:
            self._began_at = None
            return None
        end = buffer.find(HEAD_END)
        self._check_head(end)
        if end < 0:
            self._began_at = self._began_at or time.monotonic()
            return None
        self._began_at = None
        return self.input.take(end + len(HEAD_END))[:end]

    def _check_head(self, end: int) -> None:
        """Raise `RequestError` for a head that is too long or can't end."""
        buffer = self.input.buffer
        length = len(buffer) if end < 0 else end
        if length > self.server.limits.header_bytes_max:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise RequestError(status, "the head is too long")
        if end < 0 and BARE_HEAD_END in buffer:
            raise malformed("line without a carriage return")

    def _serve(self, data: bytes) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = read_head(data)
        if head.content_length > self.server.limits.body_bytes_max:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise RequestError(status, "the body is too long")
        exchange = Exchange(self.server, self, head)
        try:
            exchange.respond()
        except RequestError:
            if exchange.sent_headers:
                return False
            raise
        except Exception as error:  # noqa: BLE001
            return self._fail(exchange, error)
        return self._end(exchange)

    def _fail(self, exchange: Exchange, error: Exception) -> bool:
        """End a response that broke off; return whether the connection goes on."""
        caller_left = exchange.sent_headers and isinstance(error, OSError)
        if not caller_left:
            self.server.error_log(repr(error))
        if exchange.sent_headers:
            # Only the end of the connection tells this caller that the body is whole.
            self._resets = exchange.head.version == HTTP_1_0
            return False
        self._linger(SERVER_ERROR)
        return True

    def _end(self, exchange: Exchange) -> bool:
        """Go on after a whole response; return whether the connection does."""
        left = exchange.body.left
        if not exchange.close_connection:
            self._skip = left or 0
            return True
        if left == 0 and not self.input.buffer:
            return False
        self._linger(b"")
        return True

    def _linger(self, data: bytes) -> None:
        """
        Send the last bytes and let the caller read them.

        To close a connection with unread bytes would reset it, and the caller would
        lose the response.
        """
        self._lingers_until = time.monotonic() + LINGER_TIMEOUT_S
        with contextlib.suppress(OSError):
            if data:
                self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)

    def _wait_until_writable(self) -> None:
        poll = select.poll()
        poll.register(self.socket, select.POLLOUT)
        if not poll.poll(PROGRESS_TIMEOUT_S * MILLISECONDS):
            raise TimeoutError("the caller takes nothing")
