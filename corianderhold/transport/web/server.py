"""Serve WSGI applications with cheroot, CherryPy's HTTP server."""

import contextlib
import socket
import sys
import threading
from typing import Any

from cheroot.wsgi import Server as WSGIServer

from corianderhold.log import log_event
from corianderhold.state.configuration.model import CallerLimits
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.caller import CallerConnection
from corianderhold.transport.web.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    LISTEN_BACKLOG,
    SHUTDOWN_TIMEOUT_S,
    TCP_USER_TIMEOUT_MS,
    WAKE_DELAY_S,
    WAKE_TIMEOUT_S,
)
from corianderhold.transport.web.exchange import (
    ENVIRON_SOCKET,
    DateHeaderCache,
    Environ,
    SocketGateway,
    StartResponse,
    WSGIApplication,
)
from corianderhold.transport.web.pool import ConnectionQueue, PollingPool

__all__ = [
    "ENVIRON_SOCKET",
    "Environ",
    "StartResponse",
    "WSGIApplication",
    "WebServer",
]


class PollingServer(WSGIServer):
    """
    Serve HTTP with worker threads that wait on all connections themselves.

    Cheroot's own server passes each request from a selector thread to a worker, lets a
    new connection hold a worker before it has sent anything, and accepts requests that
    RFC 9112 requires to be rejected.
    """

    ConnectionClass = CallerConnection

    def __init__(
        self,
        address: Address,
        application: WSGIApplication,
        threads: int,
        limits: CallerLimits,
    ) -> None:
        super().__init__(
            (address.host, address.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=0,  # accepted sockets are non-blocking
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.limits = limits
        self.is_draining = False
        self.is_handing_over = False
        self.gateway = SocketGateway
        self.requests = PollingPool(self, threads, lambda: self.limits)
        self.format_date = DateHeaderCache().format
        self.environ: Environ = {
            "ACTUAL_SERVER_PROTOCOL": "HTTP/1.1",
            "SCRIPT_NAME": "",
            "SERVER_NAME": address.host,
            "SERVER_PORT": str(address.port),
            "SERVER_SOFTWARE": self.version,
            "wsgi.errors": sys.stderr,
            "wsgi.multiprocess": False,
            "wsgi.multithread": True,
            "wsgi.run_once": False,
            "wsgi.url_scheme": "http",
            "wsgi.version": (1, 0),
        }

    def process_conn(self, conn: Any) -> None:
        """Wait for the first request of a new connection."""
        self.requests.connections.watch(conn)

    def forget_connection(self, connection: CallerConnection) -> None:
        """Stop counting a connection that has been closed."""
        self.requests.connections.busy.discard(connection)

    def put_conn(self, conn: Any) -> None:
        """Wait for the next request of a connection."""
        if self.ready:
            self.requests.connections.watch(conn)
        else:
            conn.close()


class WebServer:
    """Run an HTTP listener with up to `threads` worker threads."""

    def __init__(
        self,
        name: str,
        address: Address,
        application: WSGIApplication,
        threads: int,
        limits: CallerLimits = CallerLimits(),  # noqa: B008
    ) -> None:
        self._name = name
        self._address = address
        self._server = PollingServer(address, application, threads, limits)
        self._server.error_log = log_server_error  # type: ignore[method-assign]
        self._thread = threading.Thread(
            target=self._server.serve, name=f"web-{name}", daemon=True
        )

    def start(self) -> None:
        """Listen and serve; raise `OSError` when the address can't be bound."""
        self._server.prepare()
        set_keepalive(self._server.socket)
        self._thread.start()
        log_event("listening", listener=self._name, address=str(self._address))

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply other limits to callers from now on."""
        self._server.limits = limits

    def count_in_flight(self) -> int:
        """Return how many connections have a request or an undelivered response."""
        connections: ConnectionQueue = self._server.requests.connections
        return len(connections.busy) + connections.count_delivering()

    def begin_drain(self) -> None:
        """Close each connection after its next response."""
        self._server.is_draining = True

    def hand_over_responses(self) -> None:
        """Pass responses to the kernel as far as it takes them, also unread ones."""
        self._server.is_handing_over = True
        for connection in list(self._server.requests.connections.busy):
            connection.grow_send_buffer()

    def close_idle(self) -> None:
        """Close the connections on which no part of a request has been received."""
        self._server.requests.connections.close_idle()

    def stop(self) -> None:
        """Stop listening; wait a bounded time for requests in progress."""
        if self._thread.ident is not None:
            wake = threading.Timer(WAKE_DELAY_S, self._wake_acceptor)
            wake.daemon = True
            wake.start()
        self._server.stop()

    def _wake_acceptor(self) -> None:
        """Connect once: cheroot's accept loop checks for a stop only periodically."""
        address = (self._address.host, self._address.port)
        with contextlib.suppress(OSError):
            socket.create_connection(address, WAKE_TIMEOUT_S).close()


def set_keepalive(listener: socket.socket) -> None:
    """Set keepalive to detect silent callers; accepted connections inherit it."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    listener.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    listener.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log a message of the HTTP server on one line."""
    log_event("http_server_error", message=msg.strip())
