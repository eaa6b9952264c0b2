"""Append to and read from the platform's log over HTTP."""

import threading
from dataclasses import dataclass

from result import Err, Ok, Result
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connectionpool import connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from voluptuous import Invalid

from corianderhold.clock import Clock
from corianderhold.ids import Offset
from corianderhold.log import log_warning
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    ReadFailure,
    StreamName,
)
from corianderhold.transport.store.const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_LIMIT_S,
    CONNECTIONS_KEPT,
    PAGE_LIMIT_BYTES,
    READ_CHUNK_BYTES,
    SILENT_CONNECTION_SHARE,
)
from corianderhold.transport.store.schema import parse_appended, parse_page

CREATED = 201
OK = 200
REQUEST_TIMEOUT = 408
CLIENT_ERRORS = range(300, 500)


class AnswerTooLongError(HTTPError):
    """An answer exceeded the time or size allowed for it."""


@dataclass(frozen=True)
class HttpAnswer:
    """Status and whole body of an answer."""

    status: int
    body: bytes


class HttpLog:
    """
    Implement `Log` over the HTTP interface of the platform's log.

    An append is sent once, and so is a read that waits. Any other read that meets a
    silent connection is repeated on a fresh one within its time-out.
    """

    read_only: frozenset[StreamName] = frozenset()

    def __init__(self, base_url: str, clock: Clock) -> None:
        self._base_url = base_url
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = self._open_pool()
        self._used_at = clock.read_monotonic()

    def append(
        self, stream: StreamName, data: str, timeout_s: float
    ) -> Result[Offset, AppendFailure]:
        """Append one record; the outcome is unknown once the request was sent."""
        try:
            answer = self._exchange(
                "POST", f"/v1/streams/{stream.value}/records", data, timeout_s
            )
        except (NewConnectionError, ConnectTimeoutError):
            return Err(AppendFailure.NOT_APPENDED)
        except HTTPError as error:
            self._replace_connections(error)
            return Err(AppendFailure.UNKNOWN)
        return judge_append(answer)

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Return records; a read that waits for one is sent once."""
        path = f"/v1/streams/{stream.value}/records?from={from_offset}&limit={limit}"
        try:
            if wait_s > 0:
                path += f"&wait_ms={wait_s * 1000:.0f}"
                answer = self._exchange("GET", path, None, wait_s + timeout_s)
            else:
                answer = self._read_repeatedly(path, timeout_s)
        except HTTPError as error:
            self._replace_connections(error)
            return Err(ReadFailure.UNAVAILABLE)
        if answer.status != OK:
            return Err(ReadFailure.UNAVAILABLE)
        try:
            return Ok(parse_page(answer.body, from_offset))
        except Invalid as error:
            log_warning("log_page_malformed", stream=stream, error=str(error))
            return Err(ReadFailure.MALFORMED)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _read_repeatedly(self, path: str, timeout_s: float) -> HttpAnswer:
        """Read, and once more on a fresh connection when the first is silent."""
        started = self._clock.read_monotonic()
        try:
            return self._exchange(
                "GET", path, None, timeout_s * SILENT_CONNECTION_SHARE
            )
        except (NewConnectionError, ConnectTimeoutError):
            raise
        except HTTPError as error:
            self._replace_connections(error)
        left_s = started + timeout_s - self._clock.read_monotonic()
        if left_s <= 0:
            raise AnswerTooLongError("no time left for a second read")
        return self._exchange("GET", path, None, left_s)

    def _exchange(
        self, method: str, path: str, body: str | None, timeout_s: float
    ) -> HttpAnswer:
        """Send one request and return the whole answer; raise HTTPError."""
        deadline = self._clock.read_monotonic() + timeout_s
        response = self._pick_pool().urlopen(
            method,
            path,
            body=None if body is None else body.encode(),
            headers={"Content-Type": "text/plain; charset=utf-8"} if body else None,
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
                late = self._clock.read_monotonic() > deadline
                if late or length > PAGE_LIMIT_BYTES:
                    raise AnswerTooLongError(f"answer of {length} bytes is too long")
        except HTTPError:
            response.close()
            raise
        response.release_conn()
        return HttpAnswer(response.status, b"".join(chunks))

    def _pick_pool(self) -> HTTPConnectionPool:
        """Return the pool, a fresh one when its connections were idle for long."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now - self._used_at > CONNECTION_IDLE_LIMIT_S:
                self._pool.close()
                self._pool = self._open_pool()
            self._used_at = now
            return self._pool

    def _replace_connections(self, error: HTTPError) -> None:
        """Drop all kept connections: others may be silent like the one that failed."""
        if not isinstance(error, ReadTimeoutError | AnswerTooLongError):
            return
        log_warning("log_connections_replaced", error=type(error).__name__)
        with self._lock:
            self._pool.close()
            self._pool = self._open_pool()

    def _open_pool(self) -> HTTPConnectionPool:
        return connection_from_url(self._base_url, maxsize=CONNECTIONS_KEPT)


def judge_append(answer: HttpAnswer) -> Result[Offset, AppendFailure]:
    """Return the offset; a server error says nothing about the record's fate."""
    if answer.status in CLIENT_ERRORS and answer.status != REQUEST_TIMEOUT:
        return Err(AppendFailure.NOT_APPENDED)
    if answer.status != CREATED:
        return Err(AppendFailure.UNKNOWN)
    try:
        return Ok(parse_appended(answer.body))
    except Invalid as error:
        log_warning("log_append_answer_malformed", error=str(error))
        return Err(AppendFailure.UNKNOWN)
