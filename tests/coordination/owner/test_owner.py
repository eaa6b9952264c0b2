"""Test that an owner sends nothing to a target that is leaving."""

import socket
import threading
from collections.abc import Callable, Iterator
from random import Random
from unittest import TestCase

from result import Err, Result

from corianderhold.clock import Clock, SystemClock
from corianderhold.coordination.call import (
    Answer,
    AnswerTruncatedError,
    InlineBody,
    RequestBody,
    StreamedBody,
)
from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.owner.admission import Admission
from corianderhold.coordination.owner.breaker import CalleeBreaker
from corianderhold.coordination.owner.const import (
    ANSWER_GRACE_S,
    BREAKER_FAILURES,
    REFUSED_CONNECTIONS_MAX,
)
from corianderhold.coordination.owner.guard import PlaceGuard
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.owner.policy import (
    build_default_policy,
)
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import (
    CallId,
    FailureDomainId,
    InstanceId,
    OrganisationId,
    RegionId,
    Version,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.const import INLINE_BODY_BYTES
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.place import Place
from corianderhold.state.membership.target import ABSENT_TARGET, TargetStatus
from corianderhold.transport.web.target import TargetClient
from tests.common.calls import CATALOGUE, make_context
from tests.common.clock import FakeClock
from tests.common.scripted_target import (
    Script,
    ScriptedTarget,
    answer_with,
    reset,
    take_request,
)

CLOCK = SystemClock()
DOMAIN = FailureDomainId("west-a")
OWN_PLACE = Place(InstanceId("owner"), DOMAIN, RegionId("west"))
NO_BODY = InlineBody(b"")


class ScriptedSource:
    """Give the states of a script one after another, the last one for good."""

    def __init__(self, *script: TargetStatus) -> None:
        self.script = list(script)

    def read_target(self) -> TargetStatus:
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    def suspend_target(self, status: TargetStatus) -> None:
        self.script = [ABSENT_TARGET]


class RecordingLimit(FixedLimit):
    """Count the failures that the limit is told of."""

    def __init__(self) -> None:
        super().__init__(8)
        self.failures = 0
        self.refusals = 0

    def note_refusal(self) -> None:
        self.refusals += 1

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        self.failures += failed


class OwnerCase(TestCase):
    """Build an owner and make calls at it."""

    clock: Clock = CLOCK

    def build(self, *script: TargetStatus) -> Owner:
        """Return an owner whose target's states come from a script."""
        self.limit = RecordingLimit()
        self.source = ScriptedSource(*script)
        policy = build_default_policy()
        self.admission = Admission(self.limit, policy, self.clock, Random(1))
        client = TargetClient(self.clock)
        self.addCleanup(client.close)
        self.holder = ConfigurationHolder()
        guard = PlaceGuard(EligibilityRules(self.holder), OWN_PLACE)
        self.breaker = CalleeBreaker(self.clock)
        return Owner(
            self.source,
            self.admission,
            client,
            guard,
            self.breaker,
            self.clock,
            Metrics(),
        )

    def call(
        self, owner: Owner, body: RequestBody = NO_BODY
    ) -> Result[Answer, Refusal]:
        context = make_context(deadline_at=self.clock.read_monotonic() + 5)
        return owner.serve(context, body, RetryBudget(0))


class OwnerTests(OwnerCase):
    """Serve calls beside a target that only listens."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = Address(host, port)
        self.serving = TargetStatus(TargetState.SERVING, CATALOGUE, self.address)
        self.draining = TargetStatus(TargetState.DRAINING, CATALOGUE, self.address)

    def refuse(self, *script: TargetStatus) -> Reason:
        """Serve one call, which must be refused as not run, and return why."""
        owner = self.build(*script)
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(owner.count_in_flight(), 0)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)
        return refusal.reason

    def test_target_that_drains_or_goes_refuses_also_calls_that_waited(self) -> None:
        for script, reason in (
            ((self.draining,), Reason.DRAINING),
            ((self.serving, self.draining), Reason.DRAINING),
            ((self.serving, ABSENT_TARGET), Reason.NO_TARGET),
        ):
            self.assertEqual(self.refuse(*script), reason)
            self.assertEqual(self.limit.failures, 0)

    def test_evacuated_domain_refuses_until_it_is_taken_back(self) -> None:
        owner = self.build(self.serving)
        self.holder.replace(Configuration(Version(1), evacuated=frozenset({DOMAIN})))
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.DOMAIN_EVACUATED)
        self.assertTrue(owner.report_load().draining)
        self.holder.replace(Configuration(Version(1)))
        self.assertFalse(owner.report_load().draining)

    def test_call_that_may_not_be_answered_here_is_refused(self) -> None:
        owner = self.build(self.serving)
        schools = Organisation(
            OrganisationId("schools"), 0, 0, regions=frozenset({RegionId("east")})
        )
        self.holder.replace(
            Configuration(Version(1), organisations={schools.name: schools})
        )
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.REGION_FORBIDDEN)

    def test_unreachable_target_counts_as_its_failure(self) -> None:
        self.listener.close()
        self.assertEqual(self.refuse(self.serving), Reason.TARGET_UNREACHABLE)
        self.assertEqual(self.limit.failures, 1)

    def test_target_that_refuses_connections_in_a_row_is_held_for_gone(self) -> None:
        self.listener.close()
        owner = self.build(self.serving)
        reasons = [
            self.call(owner).unwrap_err().reason
            for _ in range(REFUSED_CONNECTIONS_MAX + 1)
        ]
        unreachable = [Reason.TARGET_UNREACHABLE] * REFUSED_CONNECTIONS_MAX
        self.assertEqual(reasons, [*unreachable, Reason.NO_TARGET])


class AnswersTests(OwnerCase):
    """Serve calls beside a target that answers what a test says."""

    def serve(self, *scripts: Script) -> Owner:
        target = ScriptedTarget(*scripts)
        self.addCleanup(target.close)
        status = TargetStatus(TargetState.SERVING, CATALOGUE, target.address)
        return self.build(status)

    def test_target_that_is_another_is_held_for_gone(self) -> None:
        mismatch = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 2\r\n\r\nno"
        owner = self.serve(answer_with(mismatch))
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.TARGET_MISMATCH)
        self.assertEqual(self.call(owner).unwrap_err().reason, Reason.NO_TARGET)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_target_without_room_teaches_the_limit(self) -> None:
        refused = b"HTTP/1.1 503 Full\r\nX-Corianderhold-Not-Run: 1\r\n"
        owner = self.serve(answer_with(*2 * [refused + b"Content-Length: 0\r\n\r\n"]))
        for _ in range(2):
            self.assertIs(self.call(owner).unwrap_err().reason, Reason.TARGET_FULL)
        self.assertEqual((self.limit.refusals, self.limit.failures), (2, 0))
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_answers_are_passed_on_unchanged(self) -> None:
        failed = b"HTTP/1.1 504 Late\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        owner = self.serve(answer_with(failed, chunked + b"2\r\nok\r\n0\r\n\r\n"))
        answer = self.call(owner).unwrap()
        self.assertEqual((answer.status, answer.body), (504, b"no"))
        expected = (Header("Seal", "s"), Header("Content-Length", "2"))
        self.assertEqual(answer.headers, expected)
        answer = self.call(owner).unwrap()
        self.assertEqual(answer.body, b"ok")
        self.assertEqual(answer.headers, (Header("Content-Length", "2"),))

    def test_answer_that_a_target_gives_at_the_deadline_counts(self) -> None:
        self.clock = clock = FakeClock()
        answered = threading.Event()

        def answer_at_once(connection: socket.socket) -> None:
            take_request(connection)
            connection.sendall(b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
            answered.set()
            connection.recv(1)

        def produce() -> Iterator[bytes]:
            answered.wait()
            clock.advance(5 + ANSWER_GRACE_S / 2)
            yield b"a"

        owner = self.serve(answer_at_once)
        outcome = self.call(owner, StreamedBody(produce(), None))
        self.assertEqual(outcome.unwrap().status, 504)

    def test_route_that_fails_for_a_cold_callee_is_refused_unrun(self) -> None:
        self.clock = FakeClock()
        failed = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
        owner = self.serve(answer_with(*(BREAKER_FAILURES + 1) * [failed]))
        self.breaker.note_callee_refused(1.5)
        for _ in range(BREAKER_FAILURES + 1):  # the last one is a probe
            self.assertEqual(self.call(owner).unwrap().status, 500)
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertIs(refusal.reason, Reason.CALLEE_COLD)
        self.assertEqual(refusal.retry_after_ms, 1500)

    def test_lost_answer_is_never_told_as_not_run(self) -> None:
        def lose(end: Callable[[socket.socket], None]) -> Script:
            def play(connection: socket.socket) -> None:
                take_request(connection)
                end(connection)

            return play

        half = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        for end in (socket.socket.close, reset, lambda each: each.sendall(half)):
            refusal = self.call(self.serve(lose(end))).unwrap_err()
            self.assertFalse(refusal.not_run)
            self.assertEqual(self.limit.refusals, 0)

    def test_answer_that_breaks_off_never_ends_as_whole(self) -> None:
        size = 2 * INLINE_BODY_BYTES
        part = b"a" * size
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * size),
            chunked + b"%x\r\n" % (2 * size),
            chunked + b"%x\r\n%b\r\n" % (size, part),
            b"HTTP/1.1 200 OK\r\n\r\n",
        )

        def break_off(head: bytes) -> Script:
            def play(connection: socket.socket) -> None:
                take_request(connection)
                connection.sendall(head + part)
                reset(connection)

            return play

        for head in heads:
            outcome = self.call(self.serve(break_off(head)))
            if isinstance(outcome, Err):
                self.assertFalse(outcome.err_value.not_run)
                continue
            answer = outcome.ok_value
            self.assertIsNone(answer.body)
            with self.assertRaises(AnswerTruncatedError):
                list(answer.chunks)

    def test_cancelled_answer_without_a_length_is_not_whole(self) -> None:
        size = 2 * INLINE_BODY_BYTES
        owner = self.serve(answer_with(b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * size))
        answer = self.call(owner).unwrap()
        self.assertIsNone(answer.body)
        self.assertGreater(len(next(answer.chunks)), 0)
        owner.cancel(CallId("c1"))
        with self.assertRaises(AnswerTruncatedError):
            list(answer.chunks)
        self.assertEqual(self.limit.failures, 0)
        self.assertEqual(owner.count_in_flight(), 0)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)
