"""Interrupt reads that the store holds when its connections have gone silent."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection


class HeldReads:
    """Track the connections of held reads by the threads that wait for them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: dict[int, HTTPConnection | None] = {}

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Track the request that the current thread sends in this block."""
        thread = threading.get_ident()
        with self._lock:
            self._connections[thread] = None
        try:
            yield
        finally:
            with self._lock:
                del self._connections[thread]

    def attach(self, connection: HTTPConnection) -> None:
        """Set the connection of the current thread's request if it is tracked."""
        thread = threading.get_ident()
        with self._lock:
            if thread in self._connections:
                self._connections[thread] = connection

    def interrupt(self) -> int:
        """Shut down the connections of all held reads and return their number."""
        with self._lock:
            sockets = [
                connection.sock
                for connection in self._connections.values()
                if connection is not None and connection.sock is not None
            ]
            for each in sockets:
                with contextlib.suppress(OSError):
                    each.shutdown(socket.SHUT_RDWR)
        return len(sockets)


class TrackedConnection(HTTPConnection):
    """Attach itself to the held read that it is used for, and remember a reset."""

    def __init__(self, *args: Any, held: HeldReads, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._held = held
        self._reset: ConnectionResetError | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request, which can be interrupted if it is a held read."""
        try:
            super().request(*args, **kwargs)
        except ConnectionResetError as error:
            # The pool reads the response even so, and the kernel reports a reset only
            # once: the response would end like one after an orderly close.
            self._reset = error
            raise
        self._held.attach(self)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """
        Return the response to the request.

        Raise `ConnectionResetError` if the connection was reset during the request and
        only its end would be the end of the response.
        """
        response = super().getresponse()
        reset, self._reset = self._reset, None
        if reset is None or response.chunked or response.length_remaining is not None:
            return response
        response.close()
        raise reset
