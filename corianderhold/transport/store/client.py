"""Append to and read from the platform's log over HTTP."""

from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
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
from corianderhold.transport.store.const import ERA_HEADER
from corianderhold.transport.store.http import HttpResponse, HttpStore
from corianderhold.transport.store.schema import (
    parse_append_response,
    parse_end,
    parse_page,
)

CREATED = 201
OK = 200
REQUEST_TIMEOUT = 408
GONE = 410
NOT_APPENDED_STATUSES = range(300, 500)


class HttpLog:
    """
    Implement `Log` over the HTTP interface of the platform's log.

    Appends and waiting reads are sent once. Any other read is retried once on a new
    connection, within its time-out, if the first connection does not respond.
    """

    read_only: frozenset[StreamName] = frozenset()

    def __init__(self, base_url: str, clock: Clock) -> None:
        self._store = HttpStore(base_url, clock, ERA_HEADER)

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Append one record; the outcome is unknown once the request was sent."""
        try:
            path = f"/v1/streams/{stream.value}/records"
            response = self._store.exchange("POST", path, data.encode(), timeout_s)
        except (NewConnectionError, ConnectTimeoutError):
            return Err(AppendFailure.NOT_APPENDED)
        except HTTPError as error:
            self._store.replace_connections(error)
            return Err(AppendFailure.UNKNOWN)
        return interpret_append_response(response)

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """
        Return records; a read that waits for new ones is sent once.

        A read from beyond the end of the stream returns no records at once.
        """
        path = f"/v1/streams/{stream.value}/records?from={from_offset}&limit={limit}"
        try:
            if wait_s > 0:
                path += f"&wait_ms={wait_s * 1000:.0f}"
                response = self._store.read_held(path, wait_s, timeout_s)
            else:
                response = self._store.read_with_retry(path, timeout_s)
        except HTTPError as error:
            self._store.replace_connections(error)
            return Err(ReadFailure.UNAVAILABLE)
        if response.status not in (OK, GONE):
            return Err(ReadFailure.UNAVAILABLE)
        try:
            if response.status == GONE:
                return Ok(parse_end(response.body, response.era))
            return Ok(parse_page(response.body, from_offset, response.era))
        except Invalid as error:
            log_warning("log_page_malformed", stream=stream, error=str(error))
            return Err(ReadFailure.MALFORMED)

    def close(self) -> None:
        """Close all idle connections."""
        self._store.close()


def interpret_append_response(response: HttpResponse) -> Result[Offset, AppendFailure]:
    """Return the offset; after a server error the outcome is unknown."""
    if response.status in NOT_APPENDED_STATUSES and response.status != REQUEST_TIMEOUT:
        return Err(AppendFailure.NOT_APPENDED)
    if response.status != CREATED:
        return Err(AppendFailure.UNKNOWN)
    try:
        return Ok(parse_append_response(response.body))
    except Invalid as error:
        log_warning("log_append_answer_malformed", error=str(error))
        return Err(AppendFailure.UNKNOWN)
