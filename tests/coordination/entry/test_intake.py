"""Test that a request counts until the last byte of its answer."""

from unittest import TestCase

from result import Err, Ok, Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.call import Answer
from corianderhold.coordination.entry.const import RESERVED_THREADS
from corianderhold.coordination.entry.intake import Arrival, Intake
from corianderhold.coordination.entry.request import RequestReader
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from tests.common.calls import RefusingRouter

ENVIRON = {"REQUEST_METHOD": "GET", "REQUEST_URI": "/"}


class IntakeTests(TestCase):
    """Serve requests whose answers the test makes."""

    def setUp(self) -> None:
        watch = CallerWatch(lambda call_id: None)
        self.closed = 0
        self.statuses: list[str] = []
        self.intake = Intake(
            "request",
            RefusingRouter(),
            watch,
            SystemClock(),
            Metrics(),
            RESERVED_THREADS + 1,
            RequestReader(HeaderNames(), ""),
        )

    def start_response(self, status: str, headers: list[tuple[str, str]]) -> None:
        self.statuses.append(status)

    def make_answer(self, body: bytes | None, *chunks: bytes) -> Answer:
        def close() -> None:
            self.closed += 1

        return Answer(200, (), body, iter(chunks), close)

    def serve(self, outcome: Result[Answer, Refusal]) -> object:
        return self.intake.serve(ENVIRON, self.start_response, lambda arrival: outcome)

    def test_small_answer_ends_its_request(self) -> None:
        self.serve(Ok(self.make_answer(b"all")))
        self.assertEqual((self.intake.gate.count, self.closed), (0, 1))

    def test_streamed_answer_counts_until_it_is_closed(self) -> None:
        parts = self.serve(Ok(self.make_answer(None, b"a", b"b")))
        self.assertEqual(list(parts), [b"a", b"b"])  # type: ignore[call-overload]
        self.assertEqual(self.intake.gate.count, 1)
        self.serve(Ok(self.make_answer(b"all")))
        self.assertTrue(self.statuses[-1].startswith("503"))
        parts.close()  # type: ignore[attr-defined]
        self.assertEqual((self.intake.gate.count, self.closed), (0, 1))

    def test_listener_that_ends_refuses_as_draining(self) -> None:
        self.intake.gate.close()
        body = self.serve(Ok(self.make_answer(b"all")))
        self.assertIn(b'"draining"', list(body)[0])  # type: ignore[call-overload]
        self.assertEqual(self.intake.gate.count, 0)

    def test_refusal_and_failure_end_their_requests(self) -> None:
        def fail(arrival: Arrival) -> Result[Answer, Refusal]:
            raise RuntimeError

        self.serve(Err(refuse_not_run(Reason.NO_TARGET)))
        with self.assertRaises(RuntimeError):
            self.intake.serve(ENVIRON, self.start_response, fail)
        self.assertEqual(self.intake.gate.count, 0)
