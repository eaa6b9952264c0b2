"""Test the fault injection of the relay."""

import socket
import struct
import threading
from unittest import TestCase

from tests.common.relay import Direction, Relay

TIMEOUT_S = 10.0
SILENCE_S = 0.2


def serve_echo(listener: socket.socket) -> None:
    """Echo all bytes on every connection until the listener closes."""

    def echo(connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(65_536):
                connection.sendall(data)

    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


class RelayTests(TestCase):
    """Relay to an echo server."""

    def setUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.addCleanup(listener.shutdown, socket.SHUT_RDWR)
        threading.Thread(target=serve_echo, args=(listener,), daemon=True).start()
        self._upstream = "{}:{}".format(*listener.getsockname())
        self._relay = self._start_relay(framed=False)

    def test_silent_connection_gets_nothing_while_new_one_works(self) -> None:
        old = self._connect()
        self.assertEqual(self._exchange(old, b"a"), b"a")
        self._relay.silence()
        old.settimeout(SILENCE_S)
        with self.assertRaises(TimeoutError):
            self._exchange(old, b"b")
        self.assertEqual(self._exchange(self._connect(), b"c"), b"c")

    def test_cut_closes_and_heal_lets_new_ones_in(self) -> None:
        old = self._connect()
        self.assertEqual(self._exchange(old, b"a"), b"a")
        self._relay.cut()
        self.assertEqual(old.recv(1), b"")
        self.assertEqual(self._connect().recv(1), b"")
        self._relay.heal()
        self.assertEqual(self._exchange(self._connect(), b"b"), b"b")

    def test_frame_filter_duplicates_a_frame_sent_in_pieces(self) -> None:
        def duplicate(direction: Direction, body: bytes) -> list[bytes]:
            return [body] * (2 if direction is Direction.TO_SERVER else 1)

        self._relay = self._start_relay(framed=True)
        self._relay.frame_filter = duplicate
        connection = self._connect()
        frame = struct.pack(">I", 3) + b"abc"
        connection.sendall(frame[:5])
        connection.sendall(frame[5:])
        received = b""
        while len(received) < 2 * len(frame):
            received += connection.recv(100)
        self.assertEqual(received, frame * 2)

    def _start_relay(self, *, framed: bool) -> Relay:
        relay = Relay(self._upstream, framed=framed)
        self.addCleanup(relay.stop)
        return relay

    def _connect(self) -> socket.socket:
        host, _, port = self._relay.address.rpartition(":")
        connection = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def _exchange(self, connection: socket.socket, data: bytes) -> bytes:
        connection.sendall(data)
        return connection.recv(100)
