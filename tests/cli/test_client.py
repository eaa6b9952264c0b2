"""
Test the client of the administration API against broken responses.

The command must not take a part of a response for the whole, nor collect a response
without end in memory.
"""

import socket
import tracemalloc
from contextlib import suppress
from unittest import TestCase

from result import Result

from corianderhold.cli.client import AdminClient, CallFailure, JsonObject, Reply
from corianderhold.cli.const import ANSWER_BYTES_MAX
from emulator.broken_answers import BLOCK, CHUNKED, OK, BrokenAnswer, Ending
from tests.common.scripted_target import ScriptedTarget, take_request

LARGE = "a" * (32 * 1024 * 1024)  # more than the socket buffers hold
WHOLE = OK + b'\r\n{"outcome": "accepted"}'
PARTS = {
    "part of the body": WHOLE[:-1],
    "no body": OK + b"\r\n",
    "part of the length": OK + b"Content-Length: 40\r\n\r\n{}",
    "part of the chunks": CHUNKED + b"2\r\n{}\r\n",
}
ENDLESS = {
    "body without a length": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "header value": (OK + b"A: ", BLOCK),
}
MEMORY_MAX_BYTES = 3 * ANSWER_BYTES_MAX  # of a body while it is put together


class AdminClientTests(TestCase):
    """Send one request to a server that plays one response."""

    def call(
        self, answer: BrokenAnswer, body: JsonObject | None
    ) -> Result[Reply, CallFailure]:
        """Return what the client makes of a response."""

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            with suppress(OSError):
                answer.send(connection)
                while connection.recv(65536):
                    pass

        target = ScriptedTarget(serve)
        self.addCleanup(target.close)
        client = AdminClient(f"http://{target.address}", "token")
        return client.call("GET" if body is None else "POST", "/changes", body)

    def test_part_of_a_response_is_never_complete(self) -> None:
        for name, first in PARTS.items():
            for ending in (Ending.CLOSE, Ending.RESET):
                with self.subTest(name, ending=ending):
                    answer = BrokenAnswer(first, ending=ending)
                    for body in (None, {"draft": LARGE}):
                        self.assertTrue(self.call(answer, body).unwrap_err().sent)

    def test_whole_early_response_is_complete(self) -> None:
        answer = BrokenAnswer(WHOLE, ending=Ending.CLOSE)
        reply = self.call(answer, {"draft": LARGE}).unwrap()
        self.assertEqual(reply, Reply(200, {"outcome": "accepted"}))

    def test_endless_response_is_not_collected(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name):
                failure = self.call(BrokenAnswer(first, repeated), None).unwrap_err()
                self.assertTrue(failure.sent)
                _, peak = tracemalloc.get_traced_memory()
                self.assertLess(peak, MEMORY_MAX_BYTES)
