"""Exchange requests and answers with the local target over HTTP."""

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
from corianderhold.transport.web.answer import AnswerHead
from corianderhold.transport.web.connection import (
    TargetConnection,
    TargetRequest,
    build_head,
)
from corianderhold.transport.web.const import (
    FOREIGN_ANSWERS_MAX,
    FOREIGN_BYTES_MAX,
    KEPT_PART,
    TARGET_IDLE_CONNECTIONS,
    TARGET_IDLE_S,
)
from corianderhold.transport.web.errors import AnswerError, TargetError

Attach = Callable[[socket.socket | None], None]
SUCCESSES = range(200, 300)
TARGET_ERRORS = (AnswerError, OSError)


@dataclass(frozen=True)
class ConnectFailure:
    """No connection came about; with `refused` nobody listens at the address."""

    refused: bool
    detail: str


@dataclass
class TargetAnswer:
    """
    An answer that the target has begun, with all its headers.

    `chunks` raises `TargetError` when the answer breaks off or is late. `length` is the
    body's length in bytes, None if unknown; `has_known_end` says whether the body ends
    before the connection does.
    """

    status: int
    headers: tuple[Header, ...]
    chunks: "AnswerChunks"
    length: int | None
    has_known_end: bool


class TargetClient:
    """
    Exchange requests and answers with targets on kept connections.

    `request_id_name` is the header that an answer may repeat from its request.
    """

    def __init__(self, clock: Clock, request_id_name: str = HEADER_REQUEST_ID) -> None:
        self._clock = clock
        self._request_id_name = request_id_name.lower()
        self._lock = threading.Lock()
        self._idle: list[TargetConnection] = []

    def connect(self, address: Address) -> Result[TargetConnection, ConnectFailure]:
        """Return a kept or new connection; nothing has been sent on an error."""
        while (connection := self._take_idle(address)) is not None:
            if not connection.is_readable():
                return Ok(connection)
            connection.close()
        connection = TargetConnection(address, self._clock)
        try:
            connection.open()
        except (HTTPError, OSError) as error:
            connection.close()
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            return Err(ConnectFailure(refused, str(error)))
        return Ok(connection)

    def exchange(
        self, connection: TargetConnection, request: TargetRequest, attach: Attach
    ) -> Result[TargetAnswer, Refusal]:
        """
        Send a request and wait for the head of its answer.

        `attach` is called with the socket, so that the call can be cancelled, and with
        None at its end. A refusal is "may have run" once a byte has been sent.
        """
        try:
            request_head = build_head(request, connection.address)
        except ValueError as error:
            connection.close()
            return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=str(error)))
        attach(connection.socket)
        try:
            sent_whole = connection.send_request(request_head, request)
            if not connection.has_sent:
                raise AnswerError("the connection had ended before the request")
            head, foreign = self._read_head(connection, request)
        except TARGET_ERRORS as error:
            self._drop(connection, attach)
            if not connection.has_sent:
                return Err(refuse_not_run(Reason.TARGET_UNREACHABLE, detail=str(error)))
            return Err(describe_failure(error))
        except BaseException:
            self._drop(connection, attach)
            raise
        reusable = sent_whole and not foreign and head.keep
        chunks = AnswerChunks(self, connection, head, request, attach, reusable)
        return Ok(
            TargetAnswer(
                head.status, head.headers, chunks, head.length, head.has_known_end
            )
        )

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def keep(self, connection: TargetConnection, head: AnswerHead) -> None:
        """Keep a connection whose answer came whole for as long as its target does."""
        kept_s = TARGET_IDLE_S if head.keep_s is None else head.keep_s * KEPT_PART
        now = self._clock.read_monotonic()
        connection.usable_until = now + kept_s
        with self._lock:
            self._idle.append(connection)
            oldest = self._idle[0]
            if len(self._idle) > TARGET_IDLE_CONNECTIONS or oldest.usable_until < now:
                del self._idle[0]
                oldest.close()

    def _read_head(
        self, connection: TargetConnection, request: TargetRequest
    ) -> tuple[AnswerHead, bool]:
        """Return the answer's head, and whether answers to others came before it."""
        reader, deadline_at = connection.reader, request.deadline_at
        for skipped in range(FOREIGN_ANSWERS_MAX):
            head = reader.read_head(request.method, deadline_at)
            if not self._is_foreign(head, request):
                self._check_named(connection, head)
                return head, skipped > 0
            if not head.has_known_end or request.method == "HEAD":
                break
            size = 0
            for part in reader.read_body(head, deadline_at):
                size += len(part)
                if size > FOREIGN_BYTES_MAX:
                    break
        raise AnswerError("only answers to other requests came")

    def _check_named(self, connection: TargetConnection, head: AnswerHead) -> None:
        """
        Raise AnswerError for a success that names no request where others did.

        It may be a second copy of an earlier answer.
        """
        if self._list_ids(head):
            connection.names_answers = True
        elif connection.names_answers and head.status in SUCCESSES:
            raise AnswerError("an answer that names no request")

    def _is_foreign(self, head: AnswerHead, request: TargetRequest) -> bool:
        if request.request_id is None:
            return False
        return any(value != request.request_id for value in self._list_ids(head))

    def _list_ids(self, head: AnswerHead) -> list[str]:
        """Return the ids of the requests that an answer says it is for."""
        name = self._request_id_name
        return [each.value for each in head.headers if each.name.lower() == name]

    def _take_idle(self, address: Address) -> TargetConnection | None:
        now = self._clock.read_monotonic()
        with self._lock:
            while self._idle:
                connection = self._idle.pop()
                if connection.address == address and connection.usable_until > now:
                    return connection
                connection.close()
        return None

    def _drop(self, connection: TargetConnection, attach: Attach) -> None:
        attach(None)
        connection.close()


class AnswerChunks:
    """Read the body of an answer in parts and settle its connection at the end."""

    def __init__(
        self,
        client: TargetClient,
        connection: TargetConnection,
        head: AnswerHead,
        request: TargetRequest,
        attach: Attach,
        reusable: bool,
    ) -> None:
        self._client = client
        self._connection = connection
        self._head = head
        self._read_until(request.deadline_at)
        self._attach = attach
        self._reusable = reusable and head.has_known_end
        self._settled = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next part; raise `TargetError` when the answer breaks off."""
        try:
            part = next(self._parts)
        except StopIteration:
            self._settle(reusable=self._reusable)
            raise
        except TARGET_ERRORS as error:
            self._settle(reusable=False)
            raise TargetError(describe_failure(error)) from error
        return part

    def hasten(self, deadline_at: float) -> None:
        """Read an answer that was not begun to be read until an earlier time."""
        self._read_until(deadline_at)

    def _read_until(self, deadline_at: float) -> None:
        self._parts = self._connection.reader.read_body(self._head, deadline_at)

    def close(self) -> None:
        """Give the answer up; its connection is closed unless it came whole."""
        self._settle(reusable=False)

    def _settle(self, *, reusable: bool) -> None:
        if self._settled:
            return
        self._settled = True
        self._attach(None)
        if reusable and not self._connection.reader.has_rest:
            self._client.keep(self._connection, self._head)
        else:
            self._connection.close()


def describe_failure(error: Exception) -> Refusal:
    """Return the refusal of a request that was sent in part or whole."""
    if isinstance(error, TimeoutError):
        return refuse_may_have_run(Reason.TARGET_SILENT, "no answer by the deadline")
    return refuse_may_have_run(Reason.ANSWER_TRUNCATED, str(error))
