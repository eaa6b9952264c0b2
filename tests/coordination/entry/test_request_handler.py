"""
Test that a request stays in flight until the last byte of its response.

A request that is released too early lets the listener exceed its limit; one that is
never released reduces its capacity for good.
"""

import io
import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from http import HTTPStatus
from typing import Any
from unittest import TestCase
from unittest.mock import Mock

from result import Err, Ok, Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.call import AnswerTruncatedError, Response
from corianderhold.coordination.entry.const import RESERVED_THREADS
from corianderhold.coordination.entry.request import RequestReader
from corianderhold.coordination.entry.request_handler import (
    ReceivedRequest,
    RequestHandler,
)
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.transport.web.errors import RequestError, bad_request
from corianderhold.transport.web.server import ENVIRON_SOCKET
from tests.common.calls import RefusingRouter, make_context
from tests.common.waiting import wait_until

ENVIRON = {"REQUEST_METHOD": "GET", "REQUEST_URI": "/"}


class IntakeTests(TestCase):
    """Serve requests whose responses are built by the test."""

    def setUp(self) -> None:
        self.cancelled: list[CallId] = []
        self.watch = CallerWatch(self.cancelled.append)
        self.closed = 0
        self.statuses: list[str] = []
        self.intake = RequestHandler(
            "request",
            RefusingRouter(),
            self.watch,
            SystemClock(),
            Metrics(),
            RESERVED_THREADS + 1,
            RequestReader(HeaderNames(), ""),
        )

    def start_response(self, status: str, headers: list[tuple[str, str]]) -> None:
        self.statuses.append(status)

    def make_response(self, body: bytes | None, *chunks: bytes) -> Response:
        def close() -> None:
            self.closed += 1

        return Response(200, (), body, iter(chunks), close)

    def serve(self, outcome: Result[Response, Refusal]) -> object:
        return self.intake.serve(ENVIRON, self.start_response, lambda arrival: outcome)

    def check_held_until_closed(self, parts: Any, body: bytes) -> None:  # noqa: ANN401
        self.assertIn(body, b"".join(parts))
        self.assertEqual(self.intake.semaphore.count, 1)
        parts.close()
        self.assertEqual(self.intake.semaphore.count, 0)

    def test_small_response_is_in_flight_until_it_is_closed(self) -> None:
        parts = self.serve(Ok(self.make_response(b"all")))
        self.check_held_until_closed(parts, b"all")
        self.assertEqual(self.closed, 1)

    def test_refusal_is_in_flight_until_it_is_closed(self) -> None:
        parts = self.serve(Err(refuse_not_run(Reason.NO_TARGET)))
        self.check_held_until_closed(parts, b'"no_target"')

    def test_streamed_response_is_in_flight_until_it_is_closed(self) -> None:
        parts = self.serve(Ok(self.make_response(None, b"a", b"b")))
        self.assertEqual(list(parts), [b"a", b"b"])  # type: ignore[call-overload]
        self.assertEqual(self.intake.semaphore.count, 1)
        self.serve(Ok(self.make_response(b"all")))
        self.assertTrue(self.statuses[-1].startswith("503"))
        parts.close()  # type: ignore[attr-defined]
        self.assertEqual((self.intake.semaphore.count, self.closed), (0, 1))

    def test_response_truncated_before_its_first_chunk_is_refused(self) -> None:
        def truncate() -> Iterator[bytes]:
            raise AnswerTruncatedError(refuse_may_have_run(Reason.TARGET_SILENT))
            yield b""

        response = replace(self.make_response(None), chunks=truncate())
        parts = self.serve(Ok(response))
        self.assertTrue(self.statuses[-1].startswith("504"))
        self.check_held_until_closed(parts, b'"may_have_run"')
        self.assertEqual(self.closed, 1)

    def test_body_that_is_not_accepted_is_refused_as_not_run(self) -> None:
        context = make_context(deadline_at=12.0)
        limit = RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too large")
        for error, status in (
            (limit, "413"),
            (bad_request("chunk"), "400"),
            (TimeoutError("late"), "503"),
            (ConnectionError("broke off"), "400"),
        ):
            stream = Mock(read=Mock(side_effect=error))
            environ = {**ENVIRON, "CONTENT_LENGTH": "5", "wsgi.input": stream}
            body = self.intake.serve(
                environ,
                self.start_response,
                lambda arrival: self.intake.route(
                    arrival.environ, context, RetryBudget(0)
                ),
            )
            self.assertEqual(stream.deadline_at, 12.0)
            self.check_held_until_closed(body, b'"not_run"')
            self.assertTrue(self.statuses[-1].startswith(status), self.statuses)

    def test_caller_is_watched_until_the_end_of_its_response(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        environ = {**ENVIRON, "wsgi.input": io.BytesIO(), ENVIRON_SOCKET: ours}
        context = make_context(deadline_at=time.monotonic() + 60)

        def handle(arrival: ReceivedRequest) -> Result[Response, Refusal]:
            self.intake.route(arrival.environ, context, RetryBudget(0))
            return Ok(self.make_response(None, b"a", b"b"))

        parts = self.intake.serve(environ, self.start_response, handle)
        self.watch.start()
        self.addCleanup(self.watch.stop)
        theirs.sendall(b"GET /next HTTP/1.1")
        theirs.close()
        wait_until(lambda: len(self.cancelled) == 2, "the call is cancelled twice")
        self.assertEqual(set(self.cancelled), {context.call_id})
        parts.close()  # type: ignore[attr-defined]

    def test_stopping_listener_refuses_as_draining(self) -> None:
        self.intake.semaphore.close()
        body = self.serve(Ok(self.make_response(b"all")))
        self.assertIn(b'"draining"', list(body)[0])  # type: ignore[call-overload]
        self.assertEqual(self.intake.semaphore.count, 0)

    def test_failure_releases_its_request(self) -> None:
        def fail(arrival: ReceivedRequest) -> Result[Response, Refusal]:
            raise RuntimeError

        with self.assertRaises(RuntimeError):
            self.intake.serve(ENVIRON, self.start_response, fail)
        self.assertEqual(self.intake.semaphore.count, 0)
