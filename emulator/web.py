"""Serve HTTP for the emulated components with cheroot."""

import contextlib
import errno
import json
import signal
import sys
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from queue import Empty, SimpleQueue
from typing import Any, Protocol
from urllib.parse import parse_qs
from wsgiref.types import StartResponse, WSGIEnvironment

from cheroot.wsgi import Server

from corianderhold.log import LogValue, format_event

READ_SIZE_BYTES = 65_536
SIGNAL_CHECK_INTERVAL_S = 0.5
BACKLOG_CONNECTIONS = 1024
IDLE_TIMEOUT_S = 120
IDLE_CONNECTIONS_MAX = 4096
JSON_TYPE = "application/json"
OK = 200
STATUS_LINES = {
    200: "200 OK",
    201: "201 Created",
    204: "204 No Content",
    400: "400 Bad Request",
    404: "404 Not Found",
    410: "410 Gone",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
}


class BodyIncompleteError(Exception):
    """Raised when a request body is shorter than its Content-Length."""


@dataclass(frozen=True)
class Request:
    """One request; `query` maps each name to its decoded values."""

    method: str
    path: str
    query: Mapping[str, list[str]]
    headers: Mapping[str, str]
    length: int | None
    stream: Any

    def read_query(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return self.query.get(name, [default])[0]

    def read_chunks(self) -> Iterable[bytes]:
        """Yield the body; raise BodyIncompleteError if it is truncated."""
        left = self.length
        while left is None or left > 0:
            size = READ_SIZE_BYTES if left is None else min(left, READ_SIZE_BYTES)
            chunk = self.stream.read(size)
            if not chunk:
                break
            left = None if left is None else left - len(chunk)
            yield chunk
        if left:
            raise BodyIncompleteError(
                f"request body truncated: {left} of {self.length} bytes missing"
            )

    def read_body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.read_chunks())


@dataclass(frozen=True)
class Answer:
    """One response; without `length` the body is sent chunked."""

    status: int
    body: Iterable[bytes] = ()
    length: int | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


class Handler(Protocol):
    """Handle HTTP requests."""

    def handle(self, request: Request) -> Answer:
        """Return the response; called on a worker thread of the server."""


def answer_json(status: int, value: object) -> Answer:
    """Build a response with a JSON body."""
    body = json.dumps(value).encode()
    return Answer(status, (body,), len(body), {"Content-Type": JSON_TYPE})


def close_connection() -> ConnectionResetError:
    """Build the error that makes the server close a connection without a response."""
    return ConnectionResetError(
        errno.ECONNRESET, "connection closed by an emulated fault"
    )


def build_request(environ: Mapping[str, Any]) -> Request:
    """Build a request from a WSGI environment."""
    headers = {
        name[5:].replace("_", "-").title(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length: int | None = int(environ.get("CONTENT_LENGTH") or 0)
    if headers.get("Transfer-Encoding", "").lower() == "chunked":
        length = None
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=parse_qs(environ.get("QUERY_STRING", "")),
        headers=headers,
        length=length,
        stream=environ["wsgi.input"],
    )


class WebServer:
    """Run a handler behind a cheroot server on its own thread."""

    def __init__(self, name: str, host: str, port: int, threads: int) -> None:
        self._name = name
        self._handler: Handler | None = None
        self._server = Server(
            (host, port),
            self._respond,
            numthreads=threads,
            request_queue_size=BACKLOG_CONNECTIONS,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.keep_alive_conn_limit = IDLE_CONNECTIONS_MAX
        self._server.error_log = self._log_error  # type: ignore[method-assign]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Return the listening ip:port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def bind(self, handler: Handler) -> None:
        """Listen on the address; requests are queued until `start`."""
        self._handler = handler
        self._server.prepare()

    def start(self) -> None:
        """Serve requests."""
        self._thread.start()

    def print_listening(self) -> None:
        """Print a log line with the listening address."""
        fields: dict[str, LogValue] = {
            "component": self._name,
            "address": self.address,
        }
        print(format_event("listening", fields), flush=True)

    def stop(self) -> None:
        """Close all connections and the listener."""
        self._server.stop()

    def _respond(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        assert self._handler is not None
        answer = self._handler.handle(build_request(environ))
        headers = list(answer.headers.items())
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        status = STATUS_LINES.get(answer.status, f"{answer.status} Status")
        start_response(status, headers)
        return answer.body

    def _log_error(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        error = sys.exc_info()[1] if traceback else None
        fields: dict[str, LogValue] = {"component": self._name, "message": msg}
        fields["error"] = repr(error)
        print(format_event("server_error", fields), file=sys.stderr, flush=True)


def wait_for_signal() -> None:
    """Block until SIGTERM or SIGINT arrives."""
    # threading.Event can deadlock in a signal handler.
    stop: SimpleQueue[None] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.put(None))
    while True:
        with contextlib.suppress(Empty):
            # Python handlers run on the main thread: a signal delivered to another
            # thread doesn't end the wait, so poll.
            stop.get(timeout=SIGNAL_CHECK_INTERVAL_S)
            return
