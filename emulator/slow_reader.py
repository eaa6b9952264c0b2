"""Emulate a caller that sends requests ahead and reads the responses slowly."""

import re
import socket
import threading
import time
from collections.abc import Sequence

HEAD = re.compile(rb"HTTP/1\.1 (\d+) .*?\r\n\r\n", re.DOTALL)
LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)
RECEIVE_BUFFER = 1  # the kernel's minimum, so that the sender's buffers fill
SEGMENT_BYTES = 1448
TIMEOUT_S = 30.0


class SlowReader(threading.Thread):
    """
    Send safe requests one behind the other on one connection.

    It reads `bytes_per_s` until all responses are complete or the connection ends, and
    as fast as it can once `hurry` is set. `answered` has the ids of the requests whose
    responses are complete, in their order.
    """

    def __init__(
        self,
        address: tuple[str, int],
        path: str,
        key: str,
        request_ids: Sequence[str],
        bytes_per_s: float,
    ) -> None:
        super().__init__(daemon=True)
        self.request_ids = request_ids
        self.answered: dict[str, int] = {}
        self.hurry = threading.Event()
        self._address = address
        self._data = b"".join(
            f"GET {path} HTTP/1.1\r\nHost: broadcast.example\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"X-Request-Id: {request_id}\r\n\r\n".encode()
            for request_id in request_ids
        )
        self._bytes_per_s = bytes_per_s

    def run(self) -> None:
        """Send all requests at once, then read."""
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            connection.settimeout(TIMEOUT_S)
            try:
                connection.connect(self._address)
                connection.sendall(self._data)
                self._read(connection)
            except OSError:
                return

    def _read(self, connection: socket.socket) -> None:
        received = b""
        while len(self.answered) < len(self.request_ids):
            data = connection.recv(SEGMENT_BYTES)
            if not data:
                return
            received = self._take_responses(received + data)
            if not self.hurry.is_set():
                time.sleep(len(data) / self._bytes_per_s)

    def _take_responses(self, received: bytes) -> bytes:
        """Take the complete responses from what was received; return the rest."""
        while head := HEAD.match(received):
            length = LENGTH.search(head[0])
            if length is None:
                break
            end = head.end() + int(length[1])
            if len(received) < end:
                break
            request_id = self.request_ids[len(self.answered)]
            self.answered[request_id] = int(head[1])
            received = received[end:]
        return received
