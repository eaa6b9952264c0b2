"""
Test the client of the store against broken responses.

A store in trouble may reset a connection beside a large append, send a head that is no
HTTP, or bytes without end. The client must not take a part of a response for the whole,
nor a whole response for a failure, and must end each request in time.
"""

import socket
import threading
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from unittest import TestCase

from urllib3.exceptions import HTTPError

from corianderhold.clock import SystemClock
from corianderhold.transport.store.const import PAGE_BYTES_MAX
from corianderhold.transport.store.http import (
    AnswerTooLongError,
    HttpResponse,
    HttpStore,
)
from emulator.broken_answers import (
    ENDLESS,
    UNFRAMED,
    BrokenAnswer,
    Ending,
    list_malformed,
)
from tests.common.scripted_target import ScriptedTarget, take_request

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.5
INTERRUPT_INTERVAL_S = 0.05
TOLERANCE_S = 1.0  # for the last part and the close on a loaded machine
MEMORY_MAX_BYTES = PAGE_BYTES_MAX + 4 * 1024 * 1024
UPLOAD = b"a" * (32 * 1024 * 1024)  # more than the socket buffers hold
HEAD = b"HTTP/1.1 413 Too Large\r\n"
FRAMED = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nhello",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}


class BrokenAnswerTests(TestCase):
    """Send one request to a store that plays one response."""

    @contextmanager
    def open_store(
        self, answer: BrokenAnswer, answered: threading.Event | None = None
    ) -> Iterator[HttpStore]:
        """Open a client of a store that does not read the bodies of requests."""
        answered = answered or threading.Event()

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            with suppress(OSError):
                answer.send(connection)
                answered.set()
                while connection.recv(65536):
                    pass

        target = ScriptedTarget(serve)
        store = HttpStore(f"http://{target.address}", SystemClock(), "X-Era")
        try:
            yield store
        finally:
            store.close()
            target.close()

    def append(self, answer: BrokenAnswer) -> HttpResponse:
        """
        Return the response to a large append; raise `HTTPError`.

        Its send is blocked when the store responds and ends the connection.
        """
        with self.open_store(answer) as store:
            return store.exchange("POST", "/records", UPLOAD, TIMEOUT_S)

    def test_reset_beside_an_append_is_never_the_end_of_a_response(self) -> None:
        for framing, first in UNFRAMED.items():
            with self.subTest(framing), self.assertRaises(HTTPError):
                self.append(BrokenAnswer(first, ending=Ending.RESET))

    def test_close_beside_an_append_is_the_end_of_a_response(self) -> None:
        for framing, first in UNFRAMED.items():
            body = b"" if first.endswith(b"\r\n\r\n") else b"hello"
            with self.subTest(framing):
                response = self.append(BrokenAnswer(first, ending=Ending.CLOSE))
                self.assertEqual(response.body, body)

    def test_response_with_a_known_end_is_complete_after_a_reset(self) -> None:
        for framing, first in FRAMED.items():
            with self.subTest(framing):
                response = self.append(BrokenAnswer(first, ending=Ending.RESET))
                self.assertEqual((response.status, response.body), (413, b"hello"))

    def test_malformed_head_is_never_a_response(self) -> None:
        for name, first in list_malformed().items():
            answer = BrokenAnswer(first, ending=Ending.CLOSE)
            with (
                self.subTest(name),
                self.open_store(answer) as store,
                self.assertRaises(HTTPError),
            ):
                store.exchange("GET", "/records", None, SHORT_TIMEOUT_S)

    def test_endless_response_ends_in_time_in_bounded_memory(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, (first, repeated) in ENDLESS.items():
            with (
                self.subTest(name),
                self.open_store(BrokenAnswer(first, repeated)) as store,
            ):
                tracemalloc.clear_traces()
                tracemalloc.reset_peak()
                began_at = time.monotonic()
                with self.assertRaises(HTTPError):
                    store.exchange("GET", "/records", None, SHORT_TIMEOUT_S)
                elapsed_s = time.monotonic() - began_at
                self.assertLess(elapsed_s, SHORT_TIMEOUT_S + TOLERANCE_S)
                _, peak = tracemalloc.get_traced_memory()
                self.assertLess(peak, MEMORY_MAX_BYTES)

    def test_interrupted_read_never_ends_a_response_without_a_length(self) -> None:
        answered = threading.Event()
        failed: list[HTTPError] = []

        def read(store: HttpStore) -> None:
            try:
                store.read_held("/records", TIMEOUT_S, TIMEOUT_S)
            except HTTPError as error:
                failed.append(error)

        with self.open_store(BrokenAnswer(UNFRAMED["HTTP/1.1"]), answered) as store:
            reader = threading.Thread(target=read, args=(store,), daemon=True)
            reader.start()
            self.assertTrue(answered.wait(TIMEOUT_S))
            silent = AnswerTooLongError("another read was silent")
            until = time.monotonic() + TIMEOUT_S
            while reader.is_alive() and time.monotonic() < until:
                store.replace_connections(silent)
                reader.join(INTERRUPT_INTERVAL_S)
        self.assertEqual(len(failed), 1)
