"""Serve raw bytes chosen by a test on loopback."""

import contextlib
import socket
import threading
from collections.abc import Callable

from corianderhold.state.membership.model import Address

ACCEPT_TIMEOUT_S = 20.0
Script = Callable[[socket.socket], None]


class ScriptedTarget:
    """Accept connections one after another and run one script on each."""

    def __init__(self, *scripts: Script) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_TIMEOUT_S)
        host, port = self._listener.getsockname()
        self.address = Address(host, port)
        self._thread = threading.Thread(target=self._run, args=scripts, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop accepting connections and wait for the scripts to end."""
        self._listener.shutdown(socket.SHUT_RDWR)  # unblocks accept()
        self._listener.close()
        self._thread.join(ACCEPT_TIMEOUT_S)

    def _run(self, *scripts: Script) -> None:
        for script in scripts:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(ConnectionError):
                script(connection)


def take_request(connection: socket.socket) -> bytes:
    """Read the next request, which must have no body, and return its head."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        byte = connection.recv(1)
        if not byte:
            raise ConnectionError("the client has closed the connection")
        data += byte
    return data


def answer_with(*answers: bytes) -> Script:
    """Return a script that answers requests in turn, then awaits the peer's close."""

    def play(connection: socket.socket) -> None:
        for answer in answers:
            take_request(connection)
            connection.sendall(answer)
        connection.recv(1)

    return play
