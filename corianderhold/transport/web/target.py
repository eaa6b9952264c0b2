"""Send requests to the local target over HTTP."""

import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from corianderhold.clock import Clock
from corianderhold.protocol.headers import HEADER_REQUEST_ID
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.connection import (
    TargetConnection,
    TargetRequest,
    build_request_head,
)
from corianderhold.transport.web.const import (
    DEFAULT_KEEP_ALIVE_TIMEOUT_S,
    KEEP_ALIVE_REUSE_RATIO,
    MISMATCHED_RESPONSE_BYTES_MAX,
    MISMATCHED_RESPONSES_MAX,
    TARGET_IDLE_CONNECTIONS,
)
from corianderhold.transport.web.errors import AnswerError, TargetError
from corianderhold.transport.web.response_reader import HttpResponseHead

AttachSocket = Callable[[socket.socket | None], None]
SUCCESS_STATUSES = range(200, 300)
TARGET_ERRORS = (AnswerError, OSError)


@dataclass(frozen=True)
class ConnectFailure:
    """The connection failed; with `refused` no process listens at the address."""

    refused: bool
    detail: str


@dataclass
class TargetResponse:
    """
    A response whose head has been received.

    `chunks` raises `TargetError` when the response is truncated or misses the deadline.
    `length` is the body's length in bytes, None if unknown; `has_known_end` says
    whether the end of the body is marked by its length or last chunk. The response is
    not `attributable` if it has no request id although earlier ones on its connection
    had: it may repeat one of them.
    """

    status: int
    headers: tuple[Header, ...]
    chunks: "ResponseChunks"
    length: int | None
    has_known_end: bool
    attributable: bool = True


class TargetClient:
    """
    Send requests to targets on persistent connections.

    `request_id_name` is the header that a response may repeat from its request.
    """

    def __init__(self, clock: Clock, request_id_name: str = HEADER_REQUEST_ID) -> None:
        self._clock = clock
        self._request_id_name = request_id_name.lower()
        self._lock = threading.Lock()
        self._idle: list[TargetConnection] = []

    def connect(self, address: Address) -> Result[TargetConnection, ConnectFailure]:
        """Return an idle or new connection; nothing has been sent on an error."""
        while (connection := self._take_idle(address)) is not None:
            if not connection.is_readable():
                return Ok(connection)
            connection.close()
        connection = TargetConnection(address, self._clock)
        try:
            connection.open()
        except (HTTPError, OSError) as error:
            connection.close()
            return Err(ConnectFailure(is_refused(error), str(error)))
        return Ok(connection)

    def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens at the address."""
        connection = TargetConnection(address, self._clock)
        try:
            connection.open()
        except (HTTPError, OSError) as error:
            return is_refused(error)
        finally:
            connection.close()
        return False

    def exchange(
        self, connection: TargetConnection, request: TargetRequest, attach: AttachSocket
    ) -> Result[TargetResponse, Refusal]:
        """
        Send a request and wait for the head of its response.

        `attach` is called with the socket, so that the call can be cancelled, and with
        None when the exchange ends. A refusal is "may have run" once any byte has been
        sent.
        """
        try:
            request_head = build_request_head(request, connection.address)
        except ValueError as error:
            connection.close()
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=str(error)))
        attach(connection.socket)
        try:
            sent_completely = connection.send_request(request_head, request)
            if not connection.has_sent:
                raise AnswerError("connection was closed before the request was sent")
            head, mismatched = self._read_head(connection, request)
            attributable = self._check_request_id(connection, head)
        except TARGET_ERRORS as error:
            self._detach_and_close(connection, attach)
            if not connection.has_sent:
                return Err(refuse_not_run(Reason.TARGET_UNREACHABLE, detail=str(error)))
            return Err(describe_failure(error))
        except BaseException:
            self._detach_and_close(connection, attach)
            raise
        reusable = sent_completely and not mismatched and head.keep_alive
        chunks = ResponseChunks(self, connection, head, request, attach, reusable)
        return Ok(
            TargetResponse(
                head.status,
                head.headers,
                chunks,
                head.length,
                head.has_known_end,
                attributable,
            )
        )

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def keep(self, connection: TargetConnection, head: HttpResponseHead) -> None:
        """Keep a connection for reuse, for a shorter time than its target does."""
        reusable_s = (
            DEFAULT_KEEP_ALIVE_TIMEOUT_S
            if head.keep_alive_timeout_s is None
            else head.keep_alive_timeout_s * KEEP_ALIVE_REUSE_RATIO
        )
        now = self._clock.read_monotonic()
        connection.expires_at = now + reusable_s
        with self._lock:
            self._idle.append(connection)
            oldest = self._idle[0]
            if len(self._idle) > TARGET_IDLE_CONNECTIONS or oldest.expires_at < now:
                del self._idle[0]
                oldest.close()

    def _read_head(
        self, connection: TargetConnection, request: TargetRequest
    ) -> tuple[HttpResponseHead, bool]:
        """Return the response's head, and whether mismatched responses preceded it."""
        reader, deadline_at = connection.reader, request.deadline_at
        for skipped in range(MISMATCHED_RESPONSES_MAX):
            head = reader.read_head(request.method, deadline_at)
            if not self._is_mismatched(head, request):
                return head, skipped > 0
            if not head.has_known_end or request.method == "HEAD":
                break
            size = 0
            for part in reader.read_body(head, deadline_at):
                size += len(part)
                if size > MISMATCHED_RESPONSE_BYTES_MAX:
                    break
        raise AnswerError("received only responses to other requests")

    def _check_request_id(
        self, connection: TargetConnection, head: HttpResponseHead
    ) -> bool:
        """
        Return whether a response has a request id where earlier ones had one.

        A response without one may be a duplicate of an earlier response. Raise
        AnswerError if it is a success.
        """
        if self._list_request_ids(head):
            connection.echoes_request_ids = True
        elif connection.echoes_request_ids:
            if head.status in SUCCESS_STATUSES:
                raise AnswerError(
                    "response has no request id although earlier ones had"
                )
            return False
        return True

    def _is_mismatched(self, head: HttpResponseHead, request: TargetRequest) -> bool:
        if request.request_id is None:
            return False
        return any(
            value != request.request_id for value in self._list_request_ids(head)
        )

    def _list_request_ids(self, head: HttpResponseHead) -> list[str]:
        """Return the request ids that a response repeats."""
        name = self._request_id_name
        return [each.value for each in head.headers if each.name.lower() == name]

    def _take_idle(self, address: Address) -> TargetConnection | None:
        now = self._clock.read_monotonic()
        with self._lock:
            while self._idle:
                connection = self._idle.pop()
                if connection.address == address and connection.expires_at > now:
                    return connection
                connection.close()
        return None

    def _detach_and_close(
        self, connection: TargetConnection, attach: AttachSocket
    ) -> None:
        attach(None)
        connection.close()


class ResponseChunks:
    """Iterate over a response body; release or close its connection at the end."""

    def __init__(
        self,
        client: TargetClient,
        connection: TargetConnection,
        head: HttpResponseHead,
        request: TargetRequest,
        attach: AttachSocket,
        reusable: bool,
    ) -> None:
        self._client = client
        self._connection = connection
        self._head = head
        self._open_body(request.deadline_at)
        self._attach = attach
        self._reusable = reusable and head.has_known_end
        self._finished = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next part; raise `TargetError` when the response is truncated."""
        try:
            part = next(self._parts)
        except StopIteration:
            self._finish(reusable=self._reusable)
            raise
        except TARGET_ERRORS as error:
            self._finish(reusable=False)
            raise TargetError(describe_failure(error)) from error
        return part

    def shorten_deadline(self, deadline_at: float) -> None:
        """Set an earlier deadline for a body of which nothing has been read."""
        self._open_body(deadline_at)

    def _open_body(self, deadline_at: float) -> None:
        self._parts = self._connection.reader.read_body(self._head, deadline_at)

    def close(self) -> None:
        """Abandon the response; close its connection unless it was read completely."""
        self._finish(reusable=False)

    def _finish(self, *, reusable: bool) -> None:
        if self._finished:
            return
        self._finished = True
        self._attach(None)
        if reusable and not self._connection.reader.has_unread_bytes:
            self._client.keep(self._connection, self._head)
        else:
            self._connection.close()


def is_refused(error: Exception) -> bool:
    """Return whether a connection failed because no process listens."""
    return isinstance(error.__cause__ or error, ConnectionRefusedError)


def describe_failure(error: Exception) -> Refusal:
    """Return the refusal of a request that was sent at least in part."""
    if isinstance(error, TimeoutError):
        return refuse_may_have_run(
            Reason.TARGET_SILENT, "no response before the deadline"
        )
    return refuse_may_have_run(Reason.ANSWER_TRUNCATED, str(error))
