"""Send requests to the platform's store over pooled HTTP connections."""

import re
import socket
import threading
from dataclasses import dataclass

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.util import parse_url

from corianderhold.clock import Clock
from corianderhold.ids import FIRST_ERA, StoreEra
from corianderhold.log import log_warning
from corianderhold.transport.store.const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_LIMIT_S,
    FIRST_ATTEMPT_TIMEOUT_RATIO,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    PAGE_BYTES_MAX,
    POOLED_CONNECTIONS_MAX,
    READ_CHUNK_BYTES,
)
from corianderhold.transport.store.held import HeldReads, TrackedConnection

CONTENT_TYPE = "text/plain; charset=utf-8"
ERA = re.compile(r"[1-9][0-9]{0,14}")
SOCKET_OPTIONS = (
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class AnswerTooLongError(HTTPError):
    """A response exceeded the time or size allowed for it."""


@dataclass(frozen=True)
class HttpResponse:
    """Status, complete body and the store's era of a response."""

    status: int
    body: bytes
    era: StoreEra = FIRST_ERA


class StorePool(HTTPConnectionPool):
    """Open connections whose held reads can be interrupted."""

    ConnectionCls = TrackedConnection


class HttpStore:
    """
    Send requests on pooled connections; replace all once one goes silent.

    Reads that the store holds end with them: on a silent connection they would wait
    until their time-out. `era_header` is the response header in which the store states
    its era.
    """

    def __init__(self, base_url: str, clock: Clock, era_header: str) -> None:
        self._address = parse_url(base_url)
        self._held = HeldReads()
        self._era_header = era_header
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = self._open_pool()
        self._used_at = clock.read_monotonic()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

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
        deadline = self._clock.read_monotonic() + timeout_s
        response = self._get_pool().urlopen(
            method,
            path,
            body=body,
            headers={"Content-Type": CONTENT_TYPE} if body else None,
            retries=False,
            redirect=False,
            preload_content=False,
            timeout=Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s),
        )
        try:
            chunks = []
            length = 0
            for chunk in response.stream(READ_CHUNK_BYTES):
                chunks.append(chunk)
                length += len(chunk)
                timed_out = self._clock.read_monotonic() > deadline
                if timed_out or length > PAGE_BYTES_MAX:
                    raise AnswerTooLongError(
                        f"response over {timeout_s} s or {PAGE_BYTES_MAX} bytes:"
                        f" got {length} bytes"
                    )
        except HTTPError:
            response.close()
            raise
        response.release_conn()
        era = parse_era(response.headers.get(self._era_header))
        return HttpResponse(response.status, b"".join(chunks), era)

    def _get_pool(self) -> HTTPConnectionPool:
        """Return the pool, a new one if its connections were idle for too long."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now - self._used_at > CONNECTION_IDLE_LIMIT_S:
                self._pool.close()
                self._pool = self._open_pool()
            self._used_at = now
            return self._pool

    def replace_connections(self, error: HTTPError) -> None:
        """Close all connections; others may be silent like the failed one."""
        if not isinstance(error, ReadTimeoutError | AnswerTooLongError):
            return
        with self._lock:
            self._pool.close()
            self._pool = self._open_pool()
        interrupted = self._held.interrupt()
        log_warning(
            "log_connections_replaced",
            error=type(error).__name__,
            held=interrupted,
        )

    def _open_pool(self) -> HTTPConnectionPool:
        return StorePool(
            self._address.host or "",
            self._address.port,
            maxsize=POOLED_CONNECTIONS_MAX,
            socket_options=SOCKET_OPTIONS,
            held=self._held,
        )


def parse_era(text: str | None) -> StoreEra:
    """Return the era in a response header, FIRST_ERA without a valid one."""
    if text is None or ERA.fullmatch(text) is None:
        return FIRST_ERA
    return StoreEra(int(text))
