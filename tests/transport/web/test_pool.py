"""
Test the worker threads that wait on connections themselves.

They guard against idle connections that occupy threads, and against a pool that stops
growing, or exceeds its maximum, under load.
"""

import socket
import threading
from collections.abc import Iterable
from contextlib import ExitStack
from unittest import TestCase
from unittest.mock import patch

from corianderhold.state.membership.model import Address
from corianderhold.transport.web.server import Environ, StartResponse, WebServer
from tests.common.ports import HOST, find_free_port
from tests.common.waiting import wait_until

THREADS = 2
MANY_THREADS = 40
IDLE_CONNECTIONS = 20
TIMEOUT_S = 8.0  # shorter than a silent caller may occupy a thread
REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"


def echo_path(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    """Respond with the request's path."""
    body = environ["PATH_INFO"].encode()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class PollingPoolTests(TestCase):
    """Serve with two worker threads."""

    def setUp(self) -> None:
        self._address = Address(HOST, find_free_port())
        self._server = WebServer("test", self._address, echo_path, THREADS)
        self._server.start()
        self._stack = ExitStack()
        self.addCleanup(self._server.stop)
        self.addCleanup(self._stack.close)

    def test_connections_without_a_request_occupy_no_thread(self) -> None:
        idle = [self._connect() for _ in range(IDLE_CONNECTIONS)]
        for number, connection in enumerate(reversed(idle)):
            connection.sendall(REQUEST % number)
            self.assertIn(b"/%d" % number, self._receive(connection, b"/%d" % number))

    def test_requests_sent_together_are_all_answered(self) -> None:
        connection = self._connect()
        connection.sendall(b"".join(REQUEST % number for number in range(3)))
        self._receive(connection, b"/2")

    def test_stop_closes_idle_connections(self) -> None:
        connection = self._connect()
        connection.sendall(REQUEST % 1)
        self._receive(connection, b"/1")
        self._server.stop()
        self.assertEqual(connection.recv(1), b"")

    def test_pool_continues_when_a_thread_can_not_be_started(self) -> None:
        self._server.stop()
        self._server = WebServer("test", self._address, echo_path, MANY_THREADS)
        self._server.start()
        self.addCleanup(self._server.stop)
        pool = self._server._server.requests
        refused = RuntimeError("can't start new thread")
        with (
            patch.object(pool, "_start_thread", side_effect=refused) as start,
            patch.object(pool.connections, "count_idle_threads", return_value=0),
        ):
            pool.connections._wake.set()
            wait_until(lambda: start.called, "a thread start is attempted")
        pool.connections._wake.set()
        wait_until(lambda: not pool.connections._wake.is_set(), "the sweeper continues")

    def test_threads_start_on_demand_up_to_the_maximum(self) -> None:
        barrier = threading.Barrier(MANY_THREADS, timeout=TIMEOUT_S)

        def wait_for_others(
            environ: Environ, start_response: StartResponse
        ) -> Iterable[bytes]:
            if environ["PATH_INFO"] == "/0":
                barrier.wait()
            return echo_path(environ, start_response)

        self._server.stop()
        threads_before = threading.active_count()
        self._server = WebServer("test", self._address, wait_for_others, MANY_THREADS)
        self._server.start()
        self.addCleanup(self._server.stop)
        callers = [self._connect() for _ in range(MANY_THREADS + 1)]
        self._exchange(callers[0], 1)
        self.assertLess(threading.active_count() - threads_before, MANY_THREADS // 2)
        for caller in callers[:-1]:
            caller.sendall(REQUEST % 0)
        for caller in callers[:-1]:
            self._receive(caller, b"/0")
        self._exchange(callers[-1], 2)
        self._server.stop()
        wait_until(
            lambda: threading.active_count() <= threads_before, "all threads ended"
        )

    def _exchange(self, connection: socket.socket, number: int) -> None:
        connection.sendall(REQUEST % number)
        self._receive(connection, b"/%d" % number)

    def _connect(self) -> socket.socket:
        address = (self._address.host, self._address.port)
        connection = socket.create_connection(address, TIMEOUT_S)
        return self._stack.enter_context(connection)

    def _receive(self, connection: socket.socket, end: bytes) -> bytes:
        data = b""
        while not data.endswith(end):
            received = connection.recv(1000)
            self.assertTrue(received, data)
            data += received
        return data
