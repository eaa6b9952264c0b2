"""Interrupt reads that the store holds when its connections have gone silent."""

import contextlib
import socket
import threading
from collections.abc import Iterator


class HeldReads:
    """Track the sockets of held reads by the threads that wait for them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: dict[int, socket.socket | None] = {}
        self._interrupted: set[int] = set()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Track the request that the current thread sends in this block."""
        thread = threading.get_ident()
        with self._lock:
            self._sockets[thread] = None
        try:
            yield
        finally:
            with self._lock:
                del self._sockets[thread]
                self._interrupted.discard(thread)

    def attach(self, connection: socket.socket | None) -> None:
        """Set the socket of the current thread's request if it is tracked."""
        thread = threading.get_ident()
        with self._lock:
            if thread in self._sockets:
                self._sockets[thread] = connection

    def is_interrupted(self) -> bool:
        """Return whether the current thread's read was interrupted."""
        with self._lock:
            return threading.get_ident() in self._interrupted

    def interrupt(self) -> int:
        """Shut down the connections of all held reads and return their number."""
        with self._lock:
            held = {
                thread: connection
                for thread, connection in self._sockets.items()
                if connection is not None
            }
            for connection in held.values():
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
            self._interrupted |= held.keys()
        return len(held)
