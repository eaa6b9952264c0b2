"""
Test targets that send bytes without end until their connection is closed.

A client without bounds would read such a response past the deadline, or collect it in
memory until the daemon runs out of it.
"""

import itertools
import socket
import threading
import time
import tracemalloc
from collections.abc import Iterator
from unittest import TestCase

from result import Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.owner.chunks import discard
from corianderhold.protocol.verdict import Refusal
from corianderhold.transport.web.connection import TargetRequest
from corianderhold.transport.web.errors import TargetError
from corianderhold.transport.web.target import TargetClient, TargetResponse
from emulator.broken_answers import ENDLESS
from tests.common.scripted_target import ScriptedTarget, take_request

DEADLINE_S = 1.0
WAIT_S = 20.0
TOLERANCE_S = 1.0  # for the last part and the close on a loaded machine
MEMORY_MAX_BYTES = 4 * 1024 * 1024


class EndlessTests(TestCase):
    """Read endless responses; check the time, the memory and the outcome."""

    def test_endless_bytes_end_by_the_deadline_in_little_memory(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.check(first, repeated)

    def test_refusal_does_not_wait_for_the_rest_of_its_body(self) -> None:
        released = threading.Event()

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 9\r\n"
            connection.sendall(refusal + b"\r\nsome")
            released.wait(WAIT_S)

        target = ScriptedTarget(serve)
        self.addCleanup(target.close)
        self.addCleanup(released.set)
        clock = SystemClock()
        response = self.begin(target, WAIT_S).unwrap()
        began_at = time.monotonic()
        discard(response, clock)
        self.assertLess(time.monotonic() - began_at, TOLERANCE_S)

    def check(self, first: bytes, repeated: bytes) -> None:
        """Check that reading ends in time with a refusal that may have run."""
        closed = threading.Event()

        def serve(connection: socket.socket) -> None:
            take_request(connection)
            try:
                for data in itertools.chain((first,), itertools.repeat(repeated)):
                    connection.sendall(data)
            except OSError:
                closed.set()

        target = ScriptedTarget(serve)
        self.addCleanup(target.close)
        tracemalloc.clear_traces()
        tracemalloc.reset_peak()
        began_at = time.monotonic()
        with self.assertRaises(TargetError) as caught:
            for _ in self.read(target):
                pass
        self.assertLess(time.monotonic() - began_at, DEADLINE_S + TOLERANCE_S)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, MEMORY_MAX_BYTES)
        self.assertFalse(caught.exception.refusal.not_run)
        self.assertTrue(closed.wait(TOLERANCE_S), "the connection was not closed")

    def read(self, target: ScriptedTarget) -> Iterator[bytes]:
        """Yield the parts of a response; raise `TargetError` if there is none."""
        outcome = self.begin(target, DEADLINE_S)
        if outcome.is_err():
            raise TargetError(outcome.unwrap_err())
        yield from outcome.unwrap().chunks

    def begin(
        self, target: ScriptedTarget, wait_s: float
    ) -> Result[TargetResponse, Refusal]:
        """Send a request and wait for the head of its response."""
        clock = SystemClock()
        client = TargetClient(clock)
        connection = client.connect(target.address).unwrap()
        deadline_at = clock.read_monotonic() + wait_s
        request = TargetRequest("GET", "/", (), b"", 0, deadline_at, "own")
        return client.exchange(connection, request, lambda attached: None)
