"""
Test the client of the platform's log against scripted HTTP servers.

They guard against appends whose outcome is reported wrongly or that are sent twice, and
against reads that fail because of one silent connection.
"""

import socket
import threading
from unittest import TestCase

from result import Err, Ok

from corianderhold.clock import SystemClock
from corianderhold.ids import Offset
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    LogRecord,
    ReadFailure,
    StreamName,
)
from corianderhold.transport.store.client import HttpLog
from tests.common.waiting import wait_until

STREAM = StreamName.CONFIGURATION
TIMEOUT_S = 0.4
HELD_S = 20.0


class ScriptedServer:
    """Respond to each request on any connection with the next scripted bytes."""

    def __init__(self, responses: list[bytes | None]) -> None:
        self.requests: list[bytes] = []
        self._responses = responses
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        for opened in [self._socket, *self._open]:
            opened.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._open.append(connection)
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        while True:
            try:
                request = connection.recv(65536)
            except OSError:
                return
            if not request:
                return
            if b" HTTP/1.1" not in request:  # a body received separately
                continue
            self.requests.append(request)
            response = self._responses.pop(0) if self._responses else None
            if response == b"":
                connection.close()
                return
            if response is not None:
                connection.sendall(response)


def build_response(status: int, body: str) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class HttpLogTests(TestCase):
    """Check outcomes of appends and reads."""

    def start(self, *responses: bytes | None) -> HttpLog:
        self.server = ScriptedServer(list(responses))
        self.addCleanup(self.server.close)
        log = HttpLog(self.server.url, SystemClock())
        self.addCleanup(log.close)
        return log

    def test_append_returns_the_offset(self) -> None:
        log = self.start(build_response(201, '{"offset": 7}'))
        self.assertEqual(log.append(STREAM, "x", TIMEOUT_S), Ok(Offset(7)))
        self.assertIn(
            b"POST /v1/streams/configuration/records", self.server.requests[0]
        )

    def test_append_that_may_have_taken_effect_is_unknown_and_sent_once(self) -> None:
        cases = {
            "silent": None,
            "closed": b"",
            "server error": build_response(503, ""),
            "no offset": build_response(201, "{}"),
            "boolean": build_response(201, '{"offset": true}'),
            "truncated": build_response(201, '{"offset": 7}')[:-3],
        }
        for name, response in cases.items():
            log = self.start(response)
            outcome = log.append(STREAM, "x", TIMEOUT_S)
            self.assertEqual(outcome, Err(AppendFailure.UNKNOWN), name)
            self.assertEqual(len(self.server.requests), 1, name)

    def test_append_that_was_never_sent_or_was_rejected_is_not_appended(self) -> None:
        log = self.start(build_response(413, ""))
        rejected = log.append(STREAM, "x", TIMEOUT_S)
        self.assertEqual(rejected, Err(AppendFailure.NOT_APPENDED))
        self.server.close()
        unused = socket.create_server(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        unused.close()
        unsent = HttpLog(url, SystemClock()).append(STREAM, "x", TIMEOUT_S)
        self.assertEqual(unsent, Err(AppendFailure.NOT_APPENDED))

    def test_read_returns_the_page(self) -> None:
        body = '{"first": 3, "next": 6, "records": [{"offset": 5, "data": "\\u00fc"}]}'
        log = self.start(build_response(200, body))
        expected = LogPage(Offset(3), Offset(6), (LogRecord(Offset(5), "ü"),))
        self.assertEqual(log.read(STREAM, Offset(4), 10, TIMEOUT_S), Ok(expected))

    def test_read_is_retried_after_a_silent_connection(self) -> None:
        page = build_response(200, '{"first": 0, "next": 0, "records": []}')
        log = self.start(page, None, page)
        self.assertTrue(log.read(STREAM, Offset(0), 1, TIMEOUT_S).is_ok())
        self.assertTrue(log.read(STREAM, Offset(0), 1, TIMEOUT_S).is_ok())
        self.assertEqual(len(self.server.requests), 3)

    def test_waiting_read_sends_its_wait_and_is_sent_once(self) -> None:
        log = self.start(None)
        outcome = log.read(STREAM, Offset(4), 10, TIMEOUT_S, wait_s=0.1)
        self.assertEqual(outcome, Err(ReadFailure.UNAVAILABLE))
        self.assertEqual(len(self.server.requests), 1)
        self.assertIn(b"from=4&limit=10&wait_ms=100 ", self.server.requests[0])

    def test_held_read_ends_once_another_request_found_the_store_silent(self) -> None:
        log = self.start()
        ended = threading.Event()

        def hold() -> None:
            log.read(STREAM, Offset(4), 10, TIMEOUT_S, wait_s=HELD_S)
            ended.set()

        threading.Thread(target=hold, daemon=True).start()
        wait_until(lambda: len(self.server.requests) == 1, "the read is sent")
        log.read(STREAM, Offset(0), 10, TIMEOUT_S)
        self.assertTrue(ended.wait(HELD_S / 2))

    def test_malformed_pages_are_reported(self) -> None:
        bodies = [
            "[",
            "[]",
            '{"first": 0, "next": 1}',
            '{"first": 0, "next": 1, "records": [{"offset": 1, "data": "x"}]}',
            '{"first": 0, "next": 1, "records": [{"offset": 0, "data": 1}]}',
            "[" * 100_000,
        ]
        for body in bodies:
            log = self.start(build_response(200, body))
            outcome = log.read(STREAM, Offset(0), 9, TIMEOUT_S)
            self.assertEqual(outcome, Err(ReadFailure.MALFORMED), body[:60])

    def test_unavailable_store_is_reported(self) -> None:
        log = self.start(build_response(503, ""))
        outcome = log.read(STREAM, Offset(0), 9, TIMEOUT_S)
        self.assertEqual(outcome, Err(ReadFailure.UNAVAILABLE))
