"""
Test responses that a target sends while the request body is still being sent.

The kernel reports a reset once. If the send of the request body receives the report,
the next read ends as after an orderly close, and a response that extends to the end of
the connection would appear complete. Here the target acts at a set step of the
client's sending, so that each run meets the same order of events.
"""

import select
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.protocol.verdict import Reason
from corianderhold.transport.web.connection import TargetRequest
from corianderhold.transport.web.errors import TargetError
from corianderhold.transport.web.target import TargetClient
from emulator.broken_answers import BROKEN_HEADER, UNFRAMED, reset
from tests.common.scripted_target import ScriptedTarget, take_request

WAIT_S = 10.0
PART = b"a" * 65536
BLOCKING = b"a" * (32 * 1024 * 1024)  # more than the socket buffers hold
HEAD = b"HTTP/1.1 200 OK\r\n"
FRAMED = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nhello",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
}
Act = Callable[[], None]


class ObservedSocket:
    """
    Call `act` once at a set step of the sending.

    With `blocked` that is after the first send that would block; otherwise before the
    second send.
    """

    def __init__(self, connection: socket.socket, act: Act, *, blocked: bool) -> None:
        self._socket = connection
        self._act: Act | None = act
        self._blocked = blocked
        self._sends = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def send(self, data: memoryview) -> int:
        """Send bytes; call `act` at the chosen step."""
        self._sends += 1
        if not self._blocked and self._sends > 1:
            self._act_once()
        try:
            return self._socket.send(data)
        except BlockingIOError:
            self._act_once()
            raise

    def _act_once(self) -> None:
        act, self._act = self._act, None
        if act is not None:
            act()


class ResetBesideUploadTests(TestCase):
    """Respond before the end of the request body, then reset or close."""

    def exchange(
        self,
        answer: bytes,
        end: Callable[[socket.socket], None],
        body: bytes | Iterator[bytes],
        length: int | None,
    ) -> bytes:
        """Return the body of a complete response; raise `TargetError` otherwise."""
        go, ended = threading.Event(), threading.Event()

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            go.wait(WAIT_S)
            connection.sendall(answer)
            end(connection)
            ended.set()

        target = ScriptedTarget(serve)
        self.addCleanup(target.close)
        clock = SystemClock()
        client = TargetClient(clock)
        self.addCleanup(client.close)
        connection = client.connect(target.address).unwrap()
        real = connection.socket

        def act() -> None:
            go.set()
            self.assertTrue(ended.wait(WAIT_S))
            ready = select.poll()
            ready.register(real, select.POLLRDHUP)
            self.assertTrue(ready.poll(WAIT_S * 1000))

        blocked = isinstance(body, bytes) or length == len(BLOCKING)
        connection.socket = ObservedSocket(  # type: ignore[assignment]
            real, act, blocked=blocked
        )
        deadline_at = clock.read_monotonic() + WAIT_S
        request = TargetRequest("POST", "/", (), body, length, deadline_at)
        outcome = client.exchange(connection, request, lambda attached: None)
        if outcome.is_err():
            raise TargetError(outcome.unwrap_err())
        return b"".join(outcome.unwrap().chunks)

    def list_uploads(self) -> dict[str, tuple[bytes | Iterator[bytes], int | None]]:
        """Return request bodies by what the client does at the end of the response."""
        return {
            "between poll and send": (iter([PART, PART]), 2 * len(PART)),
            "between chunks": (iter([PART, PART]), None),
            "while sending is blocked": (iter([BLOCKING]), len(BLOCKING)),
            "while sending a buffered body is blocked": (BLOCKING, len(BLOCKING)),
        }

    def test_response_without_a_length_is_never_complete_after_a_reset(self) -> None:
        for framing, answer in UNFRAMED.items():
            for step, (body, length) in self.list_uploads().items():
                with self.subTest(framing, step=step):
                    with self.assertRaises(TargetError) as caught:
                        self.exchange(answer, reset, body, length)
                    refusal = caught.exception.refusal
                    self.assertIs(refusal.reason, Reason.ANSWER_TRUNCATED)
                    self.assertFalse(refusal.not_run)

    def test_response_without_a_length_is_complete_after_an_orderly_close(self) -> None:
        def close(connection: socket.socket) -> None:
            connection.shutdown(socket.SHUT_WR)

        def close_then_reset(connection: socket.socket) -> None:
            connection.shutdown(socket.SHUT_WR)
            reset(connection)

        for framing, answer in UNFRAMED.items():
            expected = b"hello" if b"hello" in answer else b""
            for end in (close, close_then_reset):
                for step, (body, length) in self.list_uploads().items():
                    with self.subTest(framing, step=step, end=end.__name__):
                        got = self.exchange(answer, end, body, length)
                        self.assertEqual(got, expected)

    def test_response_with_a_known_end_is_complete_after_a_reset(self) -> None:
        for framing, answer in FRAMED.items():
            expected = b"hello" if b"hello" in answer else b""
            for step, (body, length) in self.list_uploads().items():
                with self.subTest(framing, step=step):
                    self.assertEqual(
                        self.exchange(answer, reset, body, length), expected
                    )

    def test_reset_after_an_interim_response_has_no_answer(self) -> None:
        interim = f"HTTP/1.1 103 Hints\r\n{BROKEN_HEADER}: 1\r\n\r\n".encode()
        for step, (body, length) in self.list_uploads().items():
            with self.subTest(step), self.assertRaises(TargetError):
                self.exchange(interim, reset, body, length)
