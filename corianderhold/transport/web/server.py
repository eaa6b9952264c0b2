"""Serve WSGI applications with CherryPy's HTTP server."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Gateway_10
from cheroot.wsgi import Server as WSGIServer

from corianderhold.log import log_event
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.const import (
    HEADER_BYTES_MAX,
    IDLE_CONNECTIONS_MAX,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    LISTEN_BACKLOG,
    PROGRESS_TIMEOUT_S,
    SHUTDOWN_TIMEOUT_S,
    UNACKNOWLEDGED_TIMEOUT_MS,
    WAKE_DELAY_S,
    WAKE_TIMEOUT_S,
)
from corianderhold.transport.web.pool import PollingPool

ENVIRON_SOCKET = "corianderhold.socket"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
WSGIApplication = Callable[[Environ, StartResponse], Iterable[bytes]]


class SocketGateway(Gateway_10):
    """Add the caller's socket to the environment, to notice when the caller leaves."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """Return the WSGI environment of the request."""
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[ENVIRON_SOCKET] = self.req.conn.socket
        if self.req.server.draining:
            self.req.close_connection = True
        return environ


class PollingServer(WSGIServer):
    """
    Let the threads wait on all connections themselves.

    The library's own server passes each request from a thread that selects to one
    that serves, and lets a new connection hold a thread before it has sent anything.
    """

    def __init__(
        self, address: Address, application: WSGIApplication, threads: int
    ) -> None:
        super().__init__(
            (address.host, address.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=PROGRESS_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.requests = PollingPool(self, threads)
        self.draining = False

    def process_conn(self, conn: Any) -> None:
        """Wait for the first request of a new connection."""
        self.requests.connections.watch(conn)

    def put_conn(self, conn: Any) -> None:
        """Wait for the next request of a connection."""
        if self.ready:
            self.requests.connections.watch(conn)
        else:
            conn.close()


class WebServer:
    """Run one listener with a fixed number of threads."""

    def __init__(
        self, name: str, address: Address, application: WSGIApplication, threads: int
    ) -> None:
        self._name = name
        self._address = address
        self._server = PollingServer(address, application, threads)
        self._server.gateway = SocketGateway
        self._server.keep_alive_conn_limit = IDLE_CONNECTIONS_MAX
        self._server.max_request_header_size = HEADER_BYTES_MAX
        self._server.error_log = log_server_error  # type: ignore[method-assign]
        self._thread = threading.Thread(
            target=self._server.serve, name=f"web-{name}", daemon=True
        )

    def start(self) -> None:
        """Listen and serve; raise `OSError` when the address can't be had."""
        self._server.prepare()
        set_keepalive(self._server.socket)
        self._thread.start()
        log_event("listening", listener=self._name, address=str(self._address))

    def begin_drain(self) -> None:
        """Serve on, and close each connection after its next answer."""
        self._server.draining = True

    def stop(self) -> None:
        """Stop listening; wait a bounded time for the requests that are served."""
        if self._thread.ident is not None:
            wake = threading.Timer(WAKE_DELAY_S, self._wake_acceptor)
            wake.daemon = True
            wake.start()
        self._server.stop()

    def _wake_acceptor(self) -> None:
        """Connect once: the library's accepting thread looks up only now and then."""
        address = (self._address.host, self._address.port)
        with contextlib.suppress(OSError):
            socket.create_connection(address, WAKE_TIMEOUT_S).close()


def set_keepalive(listener: socket.socket) -> None:
    """Find callers that went silent; accepted connections inherit the options."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    listener.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    listener.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log what the HTTP server reports in one line."""
    log_event("http_server_error", message=msg.strip())
