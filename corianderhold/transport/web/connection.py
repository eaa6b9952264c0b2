"""Send requests and receive bytes on one connection to a target."""

import re
import select
import socket
from collections.abc import Iterator
from dataclasses import dataclass

from urllib3.connection import HTTPConnection

from corianderhold.clock import Clock
from corianderhold.protocol.peer.messages import Header
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.const import READ_BYTES, TARGET_CONNECT_TIMEOUT_S
from corianderhold.transport.web.response_reader import ResponseReader

CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
SocketOptions = list[tuple[int, int, int | bytes]]
METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})


@dataclass(frozen=True)
class TargetRequest:
    """
    One request; `deadline_at` is on the monotonic clock.

    `request_id` is the id that the response must repeat if it has one, None for any.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | Iterator[bytes]
    length: int | None
    deadline_at: float
    request_id: str | None = None


class TargetConnection:
    """
    Send requests and receive bytes; used by one thread at a time.

    The socket is non-blocking, so each wait is a single poll that ends by its deadline.
    The store's client uses such connections as well, with its own options.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        connect_timeout_s: float = TARGET_CONNECT_TIMEOUT_S,
        socket_options: SocketOptions = HTTPConnection.default_socket_options,
    ) -> None:
        self.address = address
        self.expires_at = float("inf")
        self.has_sent = False
        self.echoes_request_ids = False
        self.socket: socket.socket
        self._reset: ConnectionResetError | None = None
        self.reader = ResponseReader(self.receive)
        self._clock = clock
        self._http = HTTPConnection(
            address.host,
            address.port,
            timeout=connect_timeout_s,
            socket_options=socket_options,
        )
        self._readable = select.poll()

    def open(self) -> None:
        """Connect; raise a urllib3 error or OSError."""
        self._http.connect()
        self.socket = self._http.sock
        self.socket.setblocking(False)
        self._readable.register(self.socket, select.POLLIN)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def is_readable(self) -> bool:
        """Return whether bytes or the end of the connection can be read."""
        return bool(self._readable.poll(0))

    def send_request(self, head: bytes, request: TargetRequest) -> bool:
        """
        Send a request; return False if it was not sent completely.

        In that case the target closed the connection or responded before the end of the
        body. `has_sent` tells whether any byte was sent.
        """
        self.has_sent = False
        try:
            if isinstance(request.body, bytes):
                return self._send(head + request.body, request.deadline_at)
            return self._send(head, request.deadline_at) and self._send_parts(request)
        except BrokenPipeError:
            # The target closed the connection before any reset, so that all it sent
            # can be read.
            return False
        except ConnectionResetError as error:
            # The kernel reports a reset only once.
            self._reset = error
            return False

    def receive(self, deadline_at: float) -> bytes:
        """
        Return the next bytes, none once the target has closed the connection.

        Raise `ConnectionResetError` after the last bytes if it was reset instead, also
        when the report of the reset was received while sending.
        """
        while True:
            self._wait(self._readable, deadline_at)
            try:
                data = self.socket.recv(READ_BYTES)
            except BlockingIOError:
                continue
            if not data and self._reset is not None:
                raise self._reset
            return data

    def _send_parts(self, request: TargetRequest) -> bool:
        chunked = request.length is None
        for part in request.body:
            assert isinstance(part, bytes)
            if not part:
                continue
            data = b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
            if self.is_readable() and self.reader.has_response_started(
                request.deadline_at
            ):
                return False
            if not self._send(data, request.deadline_at):
                return False
        return not chunked or self._send(b"0\r\n\r\n", request.deadline_at)

    def _send(self, data: bytes, deadline_at: float) -> bool:
        """Send bytes; return False if a response arrives while sending is blocked."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.socket.send(view) :]
                self.has_sent = True
            except BlockingIOError:
                if not self._wait_to_send(deadline_at):
                    return False
        return True

    def _wait_to_send(self, deadline_at: float) -> bool:
        poll = select.poll()
        poll.register(self.socket, select.POLLIN | select.POLLOUT)
        return bool(self._wait(poll, deadline_at) & select.POLLOUT)

    def _wait(self, poll: select.poll, deadline_at: float) -> int:
        """Return what the socket is ready for; raise TimeoutError at the deadline."""
        timeout_s = deadline_at - self._clock.read_monotonic()
        ready = poll.poll(timeout_s * 1000) if timeout_s > 0 else []
        if not ready:
            raise TimeoutError("deadline passed while waiting for the target")
        return ready[0][1]


def build_request_head(request: TargetRequest, address: Address) -> bytes:
    """Return the request's head; raise ValueError for control characters."""
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    names = set()
    for header in request.headers:
        names.add(header.name.lower())
        lines.append(f"{header.name}: {header.value}")
    if "host" not in names:
        lines.append(f"Host: {address}")
    if "accept-encoding" not in names:
        lines.append("Accept-Encoding: identity")
    if request.length is None:
        lines.append("Transfer-Encoding: chunked")
    elif request.length or request.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {request.length}")
    if CONTROL_CHARACTERS.search("".join(lines)):
        raise ValueError("control character in the request line or headers")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
