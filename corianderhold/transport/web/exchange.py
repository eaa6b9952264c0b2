"""Serve one request through WSGI and write its response."""

import re
import time
from collections.abc import Callable, Iterable
from email.utils import formatdate
from typing import Any
from urllib.parse import unquote_to_bytes

from cheroot.server import HTTPRequest
from cheroot.wsgi import Gateway_10

from corianderhold.transport.web.body import BodyStream, ChunkedBody, SizedBody
from corianderhold.transport.web.const import DISCARDED_BODY_BYTES_MAX
from corianderhold.transport.web.head import HTTP_1_0, RequestHead

ENVIRON_SOCKET = "corianderhold.socket"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTENT_LENGTH = "content-length"
LAST_CHUNK = b"0\r\n\r\n"
BODILESS_STATUSES = frozenset({"204", "304"})
STATUSES_WITHOUT_LENGTH = frozenset({"204"})
LINE_BREAKS = re.compile(r"[\r\n]+[ \t]*")

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
WSGIApplication = Callable[[Environ, StartResponse], Iterable[bytes]]


class Exchange(HTTPRequest):
    """
    One request and its response.

    The response's head is sent together with the first part of its body.
    """

    def __init__(self, server: Any, connection: Any, head: RequestHead) -> None:
        super().__init__(server, connection)
        self.head = head
        self.close_connection = head.closes
        self.body = self._open_body()
        self._continue_sent = not head.expects_continue
        self._unsent_head = b""
        self._bodiless = False
        self._remaining_bytes: int | None = None

    def respond(self) -> None:
        """Call the application and write its complete response."""
        self.server.gateway(self).respond()

    def begin(
        self, status: str, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """
        Prepare the head of the response.

        `length` is the length of the body where it is known without a header.
        """
        code = status[:3]
        self._bodiless = self.head.method == "HEAD" or code in BODILESS_STATUSES
        names = {name.lower() for name, _ in headers}
        if code in STATUSES_WITHOUT_LENGTH:
            headers = [pair for pair in headers if pair[0].lower() != CONTENT_LENGTH]
        elif not self._bodiless:
            headers = [*headers, *self._build_framing_headers(headers, names, length)]
        self.close_connection = self.close_connection or self._must_close()
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if "date" not in names:
            lines.append(f"Date: {self.server.format_date()}")
        if self.close_connection:
            lines.append("Connection: close")
        elif self.head.version == HTTP_1_0:
            idle_s = int(self.server.limits.idle_timeout_s)
            lines += ["Connection: Keep-Alive", f"Keep-Alive: timeout={idle_s}"]
        text = "\r\n".join(lines)
        if text.count("\n") >= len(lines):
            text = "\r\n".join(LINE_BREAKS.sub(" ", line) for line in lines)
        self._unsent_head = (text + "\r\n\r\n").encode("latin-1")

    def write(self, chunk: bytes) -> None:
        """Write a part of the body; raise `ValueError` beyond its Content-Length."""
        if self._bodiless or not chunk:
            return
        if self._remaining_bytes is not None:
            if len(chunk) > self._remaining_bytes:
                raise ValueError("the response body is longer than its Content-Length")
            self._remaining_bytes -= len(chunk)
        if self.chunked_write:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self._send(chunk)

    def finish(self) -> None:
        """End the response; raise `ValueError` if the body is too short."""
        if self._remaining_bytes:
            raise ValueError(
                f"response body is {self._remaining_bytes} bytes too short"
            )
        end = LAST_CHUNK if self.chunked_write and not self._bodiless else b""
        if end or self._unsent_head:
            self._send(end)

    def _send(self, data: bytes) -> None:
        head, self._unsent_head = self._unsent_head, b""
        self.sent_headers = True
        self.conn.send(head + data if head else data)

    def _build_framing_headers(
        self, headers: list[tuple[str, str]], names: set[str], length: int | None
    ) -> list[tuple[str, str]]:
        """Return the header that frames the body, unless one is already set."""
        if CONTENT_LENGTH in names:
            self._remaining_bytes = next(
                int(value) for name, value in headers if name.lower() == CONTENT_LENGTH
            )
            return []
        if length is not None:
            self._remaining_bytes = length
            return [("Content-Length", str(length))]
        if self.head.version == HTTP_1_0:
            self.close_connection = True
            return []
        self.chunked_write = True
        return [("Transfer-Encoding", "chunked")]

    def _must_close(self) -> bool:
        """Return whether the connection must close after this response."""
        left = self.body.remaining_bytes
        if (
            left is None
            or left > DISCARDED_BODY_BYTES_MAX
            or (left and not self._continue_sent)
        ):
            return True
        return bool(self.server.is_draining or not self.server.ready)

    def _open_body(self) -> BodyStream:
        source = self.conn.input
        if self.head.chunked:
            limit = self.server.limits.body_bytes_max
            return ChunkedBody(source, limit, self._send_continue)
        return SizedBody(source, self.head.content_length, self._send_continue)

    def _send_continue(self) -> None:
        """Send "100 Continue" once to a caller that waits for it."""
        if not self._continue_sent:
            self._continue_sent = True
            self.conn.send(CONTINUE)


class SocketGateway(Gateway_10):
    """
    Call the WSGI application.

    The environment includes the caller's socket, to detect when the caller disconnects.
    """

    req: Exchange

    def get_environ(self) -> Environ:  # type: ignore[override]
        """Return the WSGI environment of the request."""
        exchange = self.req
        head, connection = exchange.head, exchange.conn
        path, _, query = head.target.partition("?")
        if "%" in path:
            path = unquote_to_bytes(path).decode("latin-1")
        environ: Environ = {
            **exchange.server.environ,
            **head.variables,
            "REQUEST_METHOD": head.method,
            "REQUEST_URI": head.target,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": head.version,
            "REMOTE_ADDR": connection.remote_addr or "",
            "REMOTE_PORT": str(connection.remote_port or ""),
            "wsgi.input": exchange.body,
            "wsgi.input_terminated": head.chunked,
            ENVIRON_SOCKET: connection.socket,
        }
        for name in ("CONTENT_LENGTH", "CONTENT_TYPE"):
            value = environ.pop(f"HTTP_{name}", None)
            if value is not None:
                environ[name] = value
        return environ

    def respond(self) -> None:
        """Write the application's response and always call its `close` afterwards."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        try:
            self._begin(response)
            for chunk in response:
                self.req.write(chunk)
            self.req.finish()
        finally:
            close = getattr(response, "close", None)
            if close is not None:
                close()

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Callable[[bytes], None]:
        """Store the status and headers of the response."""
        self._status, self._headers = status, headers
        return self.req.write

    def _begin(self, response: Iterable[bytes]) -> None:
        length = None
        if isinstance(response, list):
            length = sum(map(len, response))
        self.req.begin(self._status, self._headers, length)


class DateHeaderCache:
    """Cache the value of the Date header for one second."""

    def __init__(self) -> None:
        self._formatted: tuple[int, str] = (0, "")

    def format(self) -> str:
        """Return the current time in the format of RFC 9110."""
        now = int(time.time())
        formatted = self._formatted
        if formatted[0] != now:
            formatted = self._formatted = (now, formatdate(now, usegmt=True))
        return formatted[1]
