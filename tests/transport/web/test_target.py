"""
Test exchanges with targets that respond correctly, incorrectly or not at all.

They guard against truncated or mismatched responses that are passed on as complete, and
against requests that are reported as not run although bytes were sent.
"""

import socket
import threading
from collections.abc import Callable, Iterator
from unittest import TestCase

from result import Result

from corianderhold.clock import Clock, SystemClock
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.connection import TargetRequest
from corianderhold.transport.web.const import HEADER_BYTES_MAX
from corianderhold.transport.web.errors import TargetError
from corianderhold.transport.web.target import TargetClient, TargetResponse
from emulator.broken_answers import MALFORMED_FIELDS, list_malformed, reset
from tests.common.clock import FakeClock
from tests.common.scripted_target import (
    Script,
    ScriptedTarget,
    answer_with,
    take_request,
)

WAIT_S = 10.0
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = OK + b"\r\nhello"
FAULTY = {
    "closed": b"",
    "truncated": OK + b"Content-Length: 9\r\n\r\nhello",
    "not HTTP": b"\x00\x16\x03 bytes\r\n\r\n",
    "malformed status line": b"HTTP/1.1 2000\r\n\r\n",
    "second head": WHOLE[:-5] + WHOLE,
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "ambiguous": OK + b"Content-Length: 15\r\n" + CHUNKED + b"5\r\nhello\r\n0\r\n\r\n",
    "large head": OK + b"A: " + b"a" * HEADER_BYTES_MAX + b"\r\n\r\n",
    "split header": OK + b"A: b\rC: d\r\nContent-Length: 0\r\n\r\n",
    "malformed chunk size": OK + CHUNKED + b"hello\r\n",
    "long chunk": OK + CHUNKED + b"2\r\nhello\r\n0\r\n\r\n",
    "no last chunk": OK + CHUNKED + b"5\r\nhello\r\n",
    "another protocol": b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + WHOLE,
}


def close_after(data: bytes, end: Callable[[socket.socket], None]) -> Script:
    """Return a script that responds to one request and ends the connection."""

    def serve(connection: socket.socket) -> None:
        take_request(connection)
        connection.sendall(data)
        end(connection)

    return serve


class TargetClientTests(TestCase):
    """Run a client against scripted targets."""

    def start(self, *scripts: Script, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.client = TargetClient(self.clock)
        self.target = ScriptedTarget(*scripts)
        self.addCleanup(self.target.close)
        self.addCleanup(self.client.close)

    def begin(
        self,
        request_id: str | None = None,
        wait_s: float = WAIT_S,
        headers: tuple[Header, ...] = (),
        body: bytes | Iterator[bytes] = b"",
        length: int = 0,
    ) -> Result[TargetResponse, Refusal]:
        """Send a request on an idle or new connection."""
        connection = self.client.connect(self.target.address).unwrap()
        deadline_at = self.clock.read_monotonic() + wait_s
        request = TargetRequest(
            "GET", "/", headers, body, length, deadline_at, request_id
        )
        return self.client.exchange(connection, request, lambda attached: None)

    def get(self, request_id: str | None = None) -> bytes:
        """Return the body of a complete response."""
        return b"".join(self.begin(request_id).unwrap().chunks)

    def find_refusal_reason(
        self, request_id: str | None = None, wait_s: float = WAIT_S
    ) -> Reason:
        """Return the reason of a refusal, which must be "may have run"."""
        outcome = self.begin(request_id, wait_s)
        if outcome.is_ok():
            with self.assertRaises(TargetError) as caught:
                list(outcome.unwrap().chunks)
            refusal = caught.exception.refusal
        else:
            refusal = outcome.unwrap_err()
        self.assertFalse(refusal.not_run)
        return refusal.reason

    def test_connection_is_reused(self) -> None:
        chunked = OK + CHUNKED + b"2;a=b\r\nhe\r\n3\r\nllo\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        self.start(answer_with(WHOLE, chunked + b"0\r\nA: b\r\n\r\n", interim + WHOLE))
        for _ in range(3):
            self.assertEqual(self.get(), b"hello")

    def test_faulty_responses_are_never_complete(self) -> None:
        self.start(
            *(close_after(data, socket.socket.close) for data in FAULTY.values())
        )
        for name in FAULTY:
            with self.subTest(name):
                self.assertEqual(self.find_refusal_reason(), Reason.ANSWER_TRUNCATED)

    def test_malformed_heads_are_never_responses(self) -> None:
        malformed = list_malformed()
        self.start(
            *(close_after(data, socket.socket.close) for data in malformed.values())
        )
        for name in malformed:
            with self.subTest(name):
                outcome = self.begin()
                self.assertIs(outcome.unwrap_err().reason, Reason.ANSWER_TRUNCATED)

    def test_malformed_trailer_lines_are_dropped(self) -> None:
        lines = [line for line in MALFORMED_FIELDS.values() if b"\n" not in line]
        body = OK + b"Connection: close\r\n" + CHUNKED + b"5\r\nhello\r\n0\r\n"
        self.start(
            *(
                close_after(body + line + b"\r\n\r\n", socket.socket.close)
                for line in lines
            )
        )
        for line in lines:
            with self.subTest(line):
                response = self.begin().unwrap()
                self.assertEqual(b"".join(response.chunks), b"hello")
                self.assertNotIn("bad", str(response.headers).lower())

    def test_response_that_ends_within_its_head_is_never_complete(self) -> None:
        heads = (
            OK + b"X-Request-Id: r1\r\nContent-Length: 5\r\n\r\n",
            OK + b"Content-Length: 0\r\nX-Seal: s\r\n\r\n",
            OK + b"X-Request-Id: r1\r\n" + CHUNKED,
            OK + b"Connection: close\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n",
        )
        for head in heads:
            ends = range(len(head))
            self.start(
                *[close_after(head[:end], lambda connection: None) for end in ends]
            )
            for end in ends:
                with self.subTest(head[:end]):
                    reason = self.find_refusal_reason("r1")
                    self.assertEqual(reason, Reason.ANSWER_TRUNCATED)

    def test_response_without_a_length_is_complete_only_at_a_clean_close(self) -> None:
        self.start(
            close_after(UNFRAMED, socket.socket.close),
            close_after(UNFRAMED, reset),
        )
        response = self.begin().unwrap()
        self.assertFalse(response.has_known_end)
        self.assertEqual(b"".join(response.chunks), b"hello")
        self.assertEqual(self.find_refusal_reason(), Reason.ANSWER_TRUNCATED)

    def test_response_to_another_request_is_discarded(self) -> None:
        late = OK + b"X-Request-Id: r1\r\nContent-Length: 4\r\n\r\nlate"
        right = OK + b"x-request-id: r2\r\nContent-Length: 5\r\n\r\nright"
        self.start(answer_with(late + right), answer_with(late * 9))
        self.assertEqual(self.get("r2"), b"right")
        self.assertEqual(
            self.find_refusal_reason(request_id="r2"), Reason.ANSWER_TRUNCATED
        )

    def test_duplicate_response_on_a_reused_connection_is_discarded(self) -> None:
        first = OK + b"X-Request-Id: r1\r\nContent-Length: 5\r\n\r\nfirst"
        second = OK + b"X-Request-Id: r2\r\nContent-Length: 6\r\n\r\nsecond"
        unnamed = OK + b"Content-Length: 5\r\n\r\nfirst"
        full = b"HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
        self.start(
            answer_with(first, first + second),
            answer_with(first, unnamed + second),
            answer_with(first, full),
        )
        self.assertEqual(self.get("r1"), b"first")
        self.assertEqual(self.get("r2"), b"second")
        self.assertEqual(self.get("r1"), b"first")
        self.assertEqual(
            self.find_refusal_reason(request_id="r2"), Reason.ANSWER_TRUNCATED
        )
        self.assertEqual(self.get("r1"), b"first")
        self.assertEqual(self.get("r2"), b"full")

    def test_connection_with_unread_bytes_is_not_reused(self) -> None:
        read, sent = threading.Event(), threading.Event()

        def respond_late(connection: socket.socket) -> None:
            take_request(connection)
            connection.sendall(WHOLE)
            read.wait(WAIT_S)
            connection.sendall(OK + b"Content-Length: 4\r\n\r\nlate")
            sent.set()
            connection.recv(1)

        self.start(answer_with(WHOLE + b"x"), respond_late, answer_with(WHOLE))
        self.assertEqual(self.get(), b"hello")
        self.assertEqual(self.get(), b"hello")
        read.set()
        sent.wait(WAIT_S)
        self.assertEqual(self.get(), b"hello")

    def test_response_before_the_end_of_the_request_body_is_accepted(self) -> None:
        interim = threading.Event()

        def produce() -> Iterator[bytes]:
            interim.wait(WAIT_S)
            while True:
                yield b"a" * 65536

        def respond_early(connection: socket.socket) -> None:
            take_request(connection)
            connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            interim.set()
            connection.recv(65536, socket.MSG_WAITALL)
            connection.sendall(WHOLE)
            connection.settimeout(WAIT_S)
            while connection.recv(65536):
                pass

        self.start(respond_early, answer_with(WHOLE))
        response = self.begin(body=produce(), length=1 << 40).unwrap()
        self.assertEqual(b"".join(response.chunks), b"hello")
        self.assertEqual(self.get(), b"hello")

    def test_idle_connection_is_dropped_before_the_target_closes_it(self) -> None:
        clock = FakeClock()
        kept = OK + b"Keep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n"
        closing = OK + b"Connection: Close\r\nContent-Length: 0\r\n\r\n"
        self.start(
            answer_with(kept, kept),
            answer_with(closing),
            answer_with(kept),
            clock=clock,
        )
        for pause_s in (2.0, 3.5, 0.0, 0.0):
            self.get()
            clock.advance(pause_s)

    def test_silent_target_is_given_up_at_the_deadline(self) -> None:
        self.start(answer_with(b""), answer_with(WHOLE[:-1]))
        for _ in range(2):
            self.assertEqual(
                self.find_refusal_reason(wait_s=0.05), Reason.TARGET_SILENT
            )

    def test_request_that_would_smuggle_another_is_not_sent(self) -> None:
        self.start(answer_with(WHOLE))
        headers = (Header("A", "b\r\nC: d"),)
        refusal = self.begin(headers=headers).unwrap_err()
        self.assertTrue(refusal.not_run)

    def test_request_of_which_no_byte_was_sent_has_not_run(self) -> None:
        def end(attached: socket.socket | None) -> None:
            if attached is not None:
                attached.shutdown(socket.SHUT_RDWR)

        self.start(answer_with(WHOLE))
        connection = self.client.connect(self.target.address).unwrap()
        deadline_at = self.clock.read_monotonic() + WAIT_S
        request = TargetRequest("GET", "/", (), b"", 0, deadline_at)
        refusal = self.client.exchange(connection, request, end).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.TARGET_UNREACHABLE)

    def test_refused_connection_is_reported_as_such(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        listener.close()
        failure = TargetClient(SystemClock()).connect(Address(host, port)).unwrap_err()
        self.assertTrue(failure.refused)
