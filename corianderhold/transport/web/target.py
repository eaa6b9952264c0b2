"""Send requests to the local target over HTTP."""

import http.client
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from corianderhold.clock import Clock
from corianderhold.protocol.headers import may_reach_caller
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.const import (
    READ_BYTES,
    TARGET_CONNECT_TIMEOUT_S,
    TARGET_IDLE_CONNECTIONS,
)
from corianderhold.transport.web.errors import TargetError

Attach = Callable[[socket.socket | None], None]
BODYLESS_STATUS = frozenset({204, 304})
TARGET_ERRORS = (HTTPError, http.client.HTTPException, OSError)


@dataclass(frozen=True)
class TargetRequest:
    """One request to the target; `deadline_at` is on the monotonic clock."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | Iterator[bytes]
    length: int | None
    deadline_at: float


@dataclass
class TargetAnswer:
    """
    An answer that the target has begun.

    `chunks` raises `TargetError` when the answer breaks off or is late.
    """

    status: int
    headers: tuple[Header, ...]
    chunks: Iterator[bytes]


class TargetClient:
    """Exchange requests and answers with targets on kept connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[tuple[Address, HTTPConnection]] = []

    def connect(self, address: Address) -> Result[HTTPConnection, Refusal]:
        """Return a kept or new connection; nothing has been sent on an error."""
        while True:
            connection = self._take_idle(address)
            if connection is None:
                break
            if connection.is_connected:
                return Ok(connection)
            connection.close()
        connection = HTTPConnection(
            address.host, address.port, timeout=TARGET_CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except TARGET_ERRORS as error:
            connection.close()
            return Err(refuse_not_run(Reason.TARGET_UNREACHABLE, detail=str(error)))
        return Ok(connection)

    def exchange(
        self,
        address: Address,
        connection: HTTPConnection,
        request: TargetRequest,
        attach: Attach,
    ) -> Result[TargetAnswer, Refusal]:
        """
        Send a request and wait for the head of its answer.

        `attach` is called with the socket, so that the call can be cancelled, and with
        None at its end. Every refusal is "may have run".
        """
        try:
            attach(connection.sock)
            self.limit_wait(connection, request.deadline_at)
            send_request(connection, request)
            self.limit_wait(connection, request.deadline_at)
            response = connection.getresponse()
        except TARGET_ERRORS as error:
            self._drop(connection, attach)
            return Err(describe_failure(error))
        except BaseException:
            self._drop(connection, attach)
            raise
        if not has_known_end(request.method, response):
            self._drop(connection, attach)
            text = "the answer has neither a length nor chunks"
            return Err(refuse_may_have_run(Reason.ANSWER_TRUNCATED, text))
        headers = tuple(
            Header(name, value)
            for name, value in response.headers.iteritems()
            if may_reach_caller(name)
        )
        chunks = AnswerChunks(self, address, connection, response, request, attach)
        return Ok(TargetAnswer(response.status, headers, chunks))

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, connection in idle:
            connection.close()

    def finish(
        self, address: Address, connection: HTTPConnection, *, reusable: bool
    ) -> None:
        """Keep a connection whose answer came whole, or close it."""
        if reusable and connection.sock is not None:
            self._put_idle(address, connection)
        else:
            connection.close()

    def limit_wait(self, connection: HTTPConnection, deadline_at: float) -> None:
        """Let the connection wait no longer than the deadline."""
        left_s = deadline_at - self._clock.read_monotonic()
        if left_s <= 0:
            raise TimeoutError("the deadline has passed")
        connection.timeout = left_s  # `getresponse` sets the socket to it
        if connection.sock is not None:
            connection.sock.settimeout(left_s)

    def _take_idle(self, address: Address) -> HTTPConnection | None:
        with self._lock:
            while self._idle:
                idle_address, connection = self._idle.pop()
                if idle_address == address:
                    return connection
                connection.close()
        return None

    def _put_idle(self, address: Address, connection: HTTPConnection) -> None:
        with self._lock:
            if len(self._idle) < TARGET_IDLE_CONNECTIONS:
                self._idle.append((address, connection))
                return
        connection.close()

    def _drop(self, connection: HTTPConnection, attach: Attach) -> None:
        attach(None)
        connection.close()


class AnswerChunks:
    """Read the body of an answer in parts and settle its connection at the end."""

    def __init__(
        self,
        client: TargetClient,
        address: Address,
        connection: HTTPConnection,
        response: BaseHTTPResponse,
        request: TargetRequest,
        attach: Attach,
    ) -> None:
        self._client = client
        self._address = address
        self._connection = connection
        self._stream = response.stream(READ_BYTES, decode_content=False)
        self._deadline_at = request.deadline_at
        self._attach = attach
        self._settled = False

    def __iter__(self) -> "AnswerChunks":
        return self

    def __next__(self) -> bytes:
        """Return the next part; raise `TargetError` when the answer breaks off."""
        try:
            self._client.limit_wait(self._connection, self._deadline_at)
            chunk = next(self._stream)
        except StopIteration:
            self._settle(reusable=True)
            raise
        except TARGET_ERRORS as error:
            self._settle(reusable=False)
            raise TargetError(describe_failure(error)) from error
        return chunk

    def close(self) -> None:
        """Give the answer up; its connection is closed unless it came whole."""
        self._settle(reusable=False)

    def _settle(self, *, reusable: bool) -> None:
        if self._settled:
            return
        self._settled = True
        self._attach(None)
        self._client.finish(self._address, self._connection, reusable=reusable)


def send_request(connection: HTTPConnection, request: TargetRequest) -> None:
    """Send the request's head and body."""
    headers = {header.name: header.value for header in request.headers}
    if request.length is not None and (request.length or request.body):
        headers["Content-Length"] = str(request.length)
    connection.request(
        request.method,
        request.path,
        body=request.body or None,
        headers=headers,
        chunked=request.length is None,
        preload_content=False,
        decode_content=False,
    )


def has_known_end(method: str, response: BaseHTTPResponse) -> bool:
    """Return whether the whole answer can be told from a truncated one."""
    if method == "HEAD" or response.status in BODYLESS_STATUS:
        return True
    chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    return chunked or "Content-Length" in response.headers


def describe_failure(error: Exception) -> Refusal:
    """Return the refusal of a request that was sent in part or whole."""
    if isinstance(error, TimeoutError) or "timed out" in str(error):
        return refuse_may_have_run(Reason.TARGET_SILENT, "no answer by the deadline")
    return refuse_may_have_run(Reason.ANSWER_TRUNCATED, str(error))
