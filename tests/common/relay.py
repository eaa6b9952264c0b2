"""Relay TCP connections with fault injection."""

import contextlib
import socket
import struct
import threading
from collections.abc import Callable, Sequence
from enum import Enum

READ_SIZE_BYTES = 65_536
LENGTH_FORMAT = ">I"
LENGTH_BYTES = struct.calcsize(LENGTH_FORMAT)


class Direction(Enum):
    """Direction of bytes through a relay."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


FrameFilter = Callable[[Direction, bytes], Sequence[bytes]]


def pass_frame(_: Direction, body: bytes) -> Sequence[bytes]:
    """Forward a frame unchanged."""
    return (body,)


class RelayedConnection:
    """Relay one connection by two sockets and one thread per direction."""

    def __init__(
        self, client: socket.socket, server: socket.socket, relay: "Relay"
    ) -> None:
        self._client = client
        self._server = server
        self._relay = relay
        self.silent = False

    def start(self) -> None:
        """Start copying in both directions."""
        ways = (
            (Direction.TO_SERVER, self._client, self._server),
            (Direction.TO_CLIENT, self._server, self._client),
        )
        for way in ways:
            threading.Thread(target=self._copy, args=way, daemon=True).start()

    def close(self) -> None:
        """Close both sides."""
        for side in (self._client, self._server):
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)
            side.close()

    def _copy(
        self, direction: Direction, source: socket.socket, sink: socket.socket
    ) -> None:
        buffer = b""
        try:
            while chunk := source.recv(READ_SIZE_BYTES):
                buffer = self._forward(direction, buffer + chunk, sink)
            if not self.silent:
                sink.sendall(buffer)
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not self.silent:
                self.close()

    def _forward(self, direction: Direction, data: bytes, sink: socket.socket) -> bytes:
        """Forward complete frames and return the bytes of an incomplete one."""
        if not self._relay.framed:
            self._send(sink, data)
            return b""
        while len(data) >= LENGTH_BYTES:
            (size,) = struct.unpack_from(LENGTH_FORMAT, data)
            end = LENGTH_BYTES + size
            if len(data) < end:
                break
            for body in self._relay.frame_filter(direction, data[LENGTH_BYTES:end]):
                self._send(sink, struct.pack(LENGTH_FORMAT, len(body)) + body)
            data = data[end:]
        return data

    def _send(self, sink: socket.socket, data: bytes) -> None:
        if not self.silent:
            sink.sendall(data)


class Relay:
    """
    Listen on loopback and forward connections to one upstream address.

    On a framed relay `frame_filter` receives the body of each frame (four bytes of
    length, then the body) and returns the bodies to forward instead. It may block to
    delay a frame and may be replaced at any time.
    """

    def __init__(self, upstream: str, *, framed: bool = False) -> None:
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._lock = threading.Lock()
        self._connections: list[RelayedConnection] = []
        self._cut = False
        self.framed = framed
        self.frame_filter: FrameFilter = pass_frame
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the ip:port that clients connect to."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        with self._lock:
            self._cut = True
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def heal(self) -> None:
        """Accept and relay new connections again."""
        with self._lock:
            self._cut = False

    def silence(self) -> None:
        """Drop all further bytes of open connections without affecting new ones."""
        with self._lock:
            for connection in self._connections:
                connection.silent = True

    def stop(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._connect(client)

    def _connect(self, client: socket.socket) -> None:
        with self._lock:
            cut = self._cut
        try:
            server = None if cut else socket.create_connection(self._upstream)
        except OSError:
            server = None
        if server is None:
            client.close()
            return
        for side in (client, server):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = RelayedConnection(client, server, self)
        with self._lock:
            self._connections.append(connection)
        connection.start()
