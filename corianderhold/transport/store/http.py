"""Send requests to the platform's store over pooled HTTP connections."""

import re
import threading
from dataclasses import dataclass

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connectionpool import connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from corianderhold.clock import Clock
from corianderhold.ids import FIRST_ERA, StoreEra
from corianderhold.log import log_warning
from corianderhold.transport.store.const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_LIMIT_S,
    FIRST_ATTEMPT_TIMEOUT_RATIO,
    PAGE_BYTES_MAX,
    POOLED_CONNECTIONS_MAX,
    READ_CHUNK_BYTES,
)

CONTENT_TYPE = "text/plain; charset=utf-8"
ERA = re.compile(r"[1-9][0-9]{0,14}")


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

    `era_header` is the response header in which the store states its era.
    """

    def __init__(self, base_url: str, clock: Clock, era_header: str) -> None:
        self._base_url = base_url
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
        """Close all pooled connections; others may be silent like the failed one."""
        if not isinstance(error, ReadTimeoutError | AnswerTooLongError):
            return
        log_warning("log_connections_replaced", error=type(error).__name__)
        with self._lock:
            self._pool.close()
            self._pool = self._open_pool()

    def _open_pool(self) -> HTTPConnectionPool:
        return connection_from_url(self._base_url, maxsize=POOLED_CONNECTIONS_MAX)


def parse_era(text: str | None) -> StoreEra:
    """Return the era in a response header, FIRST_ERA without a valid one."""
    if text is None or ERA.fullmatch(text) is None:
        return FIRST_ERA
    return StoreEra(int(text))
