"""Emulate a target that sends the same broken response to each request."""

import contextlib
import socket
import threading

from emulator.announcer import Announcer
from emulator.broken_answers import BrokenAnswer

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
RECEIVE_BUFFER_BYTES = 65536  # so that long uploads stall soon
RECEIVE_BYTES = 16384
TIMEOUT_S = 30.0


class BrokenTarget:
    """
    Take the place of a target, without reading the bodies of requests.

    While `may_answer` is not set, responses wait. `arrived` is released once for each
    request, and `answered` once for each response that was sent.
    """

    def __init__(
        self, daemon_outgoing: str, service: str, answer: BrokenAnswer
    ) -> None:
        self.answer = answer
        self.arrived = threading.Semaphore(0)
        self.answered = threading.Semaphore(0)
        self.may_answer = threading.Event()
        self.may_answer.set()
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._announcer = Announcer(daemon_outgoing, service, address)

    def start(self) -> None:
        """Accept connections and announce the target until `stop`."""
        threading.Thread(target=self._accept, daemon=True).start()
        self._announcer.start()

    def stop(self) -> None:
        """Close all connections and stop announcing, without a drain."""
        self._announcer.stop()
        self.may_answer.set()
        self._listener.shutdown(socket.SHUT_RDWR)  # unblocks accept()
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(TIMEOUT_S)
        try:
            read_head(connection)
            self.arrived.release()
            self.may_answer.wait(TIMEOUT_S)
            self.answer.send(connection)
            self.answered.release()
            while connection.recv(RECEIVE_BYTES):
                pass
        except OSError:
            return
        finally:
            connection.close()
            with self._lock:
                self._connections.discard(connection)


def read_head(connection: socket.socket) -> None:
    """Read the head of a request, and what comes with it of the body."""
    received = b""
    while HEAD_END not in received:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("the client has closed the connection")
        received += data
