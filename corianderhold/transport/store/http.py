"""Send requests to the platform's store over pooled HTTP connections."""

import re
import socket
import threading
from dataclasses import dataclass

from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
)
from urllib3.util import parse_url

from corianderhold.clock import Clock
from corianderhold.ids import FIRST_ERA, StoreEra
from corianderhold.log import log_warning
from corianderhold.protocol.peer.messages import Header
from corianderhold.state.membership.model import Address
from corianderhold.transport.store.const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_LIMIT_S,
    FIRST_ATTEMPT_TIMEOUT_RATIO,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    PAGE_BYTES_MAX,
    POOLED_CONNECTIONS_MAX,
)
from corianderhold.transport.store.held import HeldReads
from corianderhold.transport.web.connection import (
    SocketOptions,
    TargetConnection,
    TargetRequest,
    build_request_head,
)
from corianderhold.transport.web.errors import AnswerError
from corianderhold.transport.web.response_reader import HttpResponseHead

HTTP_PORT = 80
CONTENT_TYPE = "text/plain; charset=utf-8"
ERA = re.compile(r"[1-9][0-9]{0,14}")
SOCKET_OPTIONS: SocketOptions = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


class AnswerTooLongError(HTTPError):
    """A response exceeded the time or size allowed for it."""


@dataclass(frozen=True)
class HttpResponse:
    """Status, complete body and the store's era of a response."""

    status: int
    body: bytes
    era: StoreEra = FIRST_ERA


class HttpStore:
    """
    Send requests on pooled connections; replace all once one goes silent.

    Reads that the store holds end with them: on a silent connection they would wait
    until their time-out. `era_header` is the response header in which the store states
    its era.
    """

    def __init__(self, base_url: str, clock: Clock, era_header: str) -> None:
        url = parse_url(base_url)
        self._address = Address(url.host or "", url.port or HTTP_PORT)
        self._held = HeldReads()
        self._era_header = era_header
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[TargetConnection] = []
        self._used_at = clock.read_monotonic()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def read_with_retry(self, path: str, timeout_s: float) -> HttpResponse:
        """Read, and retry once on a new connection if the first is silent."""
        started = self._clock.read_monotonic()
        try:
            return self.exchange(
                "GET", path, None, timeout_s * FIRST_ATTEMPT_TIMEOUT_RATIO
            )
        except (NewConnectionError, ConnectTimeoutError):
            raise
        except HTTPError as error:
            self.replace_connections(error)
        remaining_s = started + timeout_s - self._clock.read_monotonic()
        if remaining_s <= 0:
            raise AnswerTooLongError(f"no time left of {timeout_s} s to retry the read")
        return self.exchange("GET", path, None, remaining_s)

    def read_held(self, path: str, wait_s: float, timeout_s: float) -> HttpResponse:
        """
        Read once; the store may hold the read for `wait_s` seconds.

        Raise HTTPError as soon as another request finds that the store is silent.
        """
        with self._held.track():
            return self.exchange("GET", path, None, wait_s + timeout_s)

    def exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse:
        """Send one request and return the complete response; raise HTTPError."""
        deadline_at = self._clock.read_monotonic() + timeout_s
        headers = (Header("Content-Type", CONTENT_TYPE),) if body else ()
        data = body or b""
        request = TargetRequest(method, path, headers, data, len(data), deadline_at)
        connection = self._connect(timeout_s)
        try:
            sent_completely = connection.send_request(
                build_request_head(request, self._address), request
            )
            self._held.attach(connection.socket)
            head = connection.reader.read_head(method, deadline_at)
            content = self._read_body(connection, head, deadline_at)
        except TimeoutError as error:
            connection.close()
            raise AnswerTooLongError(f"no response within {timeout_s} s") from error
        except (AnswerError, OSError) as error:
            connection.close()
            raise ProtocolError(str(error)) from error
        except BaseException:
            connection.close()
            raise
        finally:
            self._held.attach(None)
        reusable = sent_completely and head.keep_alive and head.has_known_end
        self._release(connection, reusable)
        return HttpResponse(head.status, content, self._read_era(head))

    def _read_body(
        self, connection: TargetConnection, head: HttpResponseHead, deadline_at: float
    ) -> bytes:
        """Return the complete body; raise as the reader of the connection does."""
        parts = []
        size = 0
        for part in connection.reader.read_body(head, deadline_at):
            parts.append(part)
            size += len(part)
            if size > PAGE_BYTES_MAX:
                raise AnswerTooLongError(
                    f"response exceeds {PAGE_BYTES_MAX} bytes: got {size} bytes"
                )
        if not head.has_known_end and self._held.is_interrupted():
            # The interruption ends the connection just as the store does.
            raise AnswerError("the read was interrupted before its end")
        return b"".join(parts)

    def _read_era(self, head: HttpResponseHead) -> StoreEra:
        name = self._era_header.lower()
        values = [each.value for each in head.headers if each.name.lower() == name]
        return parse_era(", ".join(values))

    def _connect(self, timeout_s: float) -> TargetConnection:
        """Return an idle or new connection; drop those that were idle for too long."""
        while (idle := self._take_idle()) is not None:
            if not idle.is_readable():
                return idle
            idle.close()
        connection = TargetConnection(
            self._address,
            self._clock,
            min(CONNECT_TIMEOUT_S, timeout_s),
            SOCKET_OPTIONS,
        )
        try:
            connection.open()
        except OSError as error:
            connection.close()
            raise ProtocolError(str(error)) from error
        return connection

    def _take_idle(self) -> TargetConnection | None:
        now = self._clock.read_monotonic()
        with self._lock:
            idle_s, self._used_at = now - self._used_at, now
        if idle_s > CONNECTION_IDLE_LIMIT_S:
            self.close()
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _release(self, connection: TargetConnection, reusable: bool) -> None:
        """Keep a connection after the end of its response, or close it."""
        with self._lock:
            if (
                reusable
                and not connection.reader.has_unread_bytes
                and len(self._idle) < POOLED_CONNECTIONS_MAX
            ):
                self._idle.append(connection)
                return
        connection.close()

    def replace_connections(self, error: HTTPError) -> None:
        """Close all connections; others may be silent like the failed one."""
        if not isinstance(error, AnswerTooLongError):
            return
        self.close()
        interrupted = self._held.interrupt()
        log_warning(
            "log_connections_replaced",
            error=type(error).__name__,
            held=interrupted,
        )


def parse_era(text: str) -> StoreEra:
    """Return the era in a response header, FIRST_ERA without a valid one."""
    if ERA.fullmatch(text) is None:
        return FIRST_ERA
    return StoreEra(int(text))
