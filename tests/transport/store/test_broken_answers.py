"""
Test the client of the store against broken responses.

A store in trouble may reset a connection beside a large append. The client must not
take a part of a response for the whole, nor a whole response for a failure.
"""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from unittest import TestCase

from urllib3.exceptions import HTTPError

from corianderhold.clock import SystemClock
from corianderhold.transport.store.http import HttpResponse, HttpStore
from emulator.broken_answers import (
    UNFRAMED,
    BrokenAnswer,
    Ending,
)
from tests.common.scripted_target import ScriptedTarget, take_request

TIMEOUT_S = 10.0
UPLOAD = b"a" * (32 * 1024 * 1024)  # more than the socket buffers hold
HEAD = b"HTTP/1.1 413 Too Large\r\n"
FRAMED = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nhello",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}
FINAL = {k: v for k, v in UNFRAMED.items() if not v.startswith(b"HTTP/1.1 103")}


class BrokenAnswerTests(TestCase):
    """Send one request to a store that plays one response."""

    @contextmanager
    def open_store(self, answer: BrokenAnswer) -> Iterator[HttpStore]:
        """Open a client of a store that does not read the bodies of requests."""

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            answer.send(connection)
            with suppress(OSError):
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
        for framing, first in FINAL.items():
            with self.subTest(framing), self.assertRaises(HTTPError):
                self.append(BrokenAnswer(first, ending=Ending.RESET))

    def test_close_beside_an_append_is_the_end_of_a_response(self) -> None:
        for framing, first in FINAL.items():
            body = b"" if first.endswith(b"\r\n\r\n") else b"hello"
            with self.subTest(framing):
                response = self.append(BrokenAnswer(first, ending=Ending.CLOSE))
                self.assertEqual(response.body, body)

    def test_response_with_a_known_end_is_complete_after_a_reset(self) -> None:
        for framing, first in FRAMED.items():
            with self.subTest(framing):
                response = self.append(BrokenAnswer(first, ending=Ending.RESET))
                self.assertEqual((response.status, response.body), (413, b"hello"))
