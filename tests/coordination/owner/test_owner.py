"""
Test that an owner sends calls only to a target that may serve them.

A call that is sent to a draining, absent or replaced target is lost, and a truncated
or lost response must never be reported as complete or as not run.
"""

import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random
from unittest import TestCase

from result import Err, Result

from corianderhold.clock import Clock, SystemClock
from corianderhold.coordination.call import (
    AnswerTruncatedError,
    InlineBody,
    RequestBody,
    Response,
    StreamedBody,
)
from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.owner.admission import AdmissionController
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.const import (
    BREAKER_FAILURES,
    REFUSED_CONNECTIONS_MAX,
    RESPONSE_GRACE_S,
)
from corianderhold.coordination.owner.guard import PlacementGuard
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
from corianderhold.protocol.peer.messages import Header, TargetNotice
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from corianderhold.state.membership.locality import Locality
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import ABSENT_TARGET, TargetStatus
from corianderhold.state.quarantine.table import QuarantineTable
from corianderhold.transport.web.target import TargetClient
from emulator.broken_answers import reset
from tests.common.calls import CATALOGUE, make_context
from tests.common.clock import FakeClock
from tests.common.quarantine import RecordingNotifier, TargetReader, build_screen
from tests.common.scripted_target import (
    Script,
    ScriptedTarget,
    answer_with,
    take_request,
)

CLOCK = SystemClock()
DOMAIN = FailureDomainId("west-a")
OWN_PLACE = Locality(InstanceId("owner"), DOMAIN, RegionId("west"))
NO_BODY = InlineBody(b"")


class ScriptedSource:
    """Return the states of a script in turn, and then always the last one."""

    def __init__(self, *script: TargetStatus) -> None:
        self.script = list(script)

    def read_target(self) -> TargetStatus:
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    def suspend_target(self, status: TargetStatus) -> None:
        self.script = [ABSENT_TARGET]

    def drain_start(self, status: TargetStatus) -> None:
        self.script = [replace(status, state=TargetState.DRAINING)]


class RecordingLimit(FixedLimit):
    """Count the failures and refusals that are recorded."""

    def __init__(self) -> None:
        super().__init__(8)
        self.failures = 0
        self.refusals = 0

    def record_refusal(self) -> None:
        self.refusals += 1

    def record_completion(
        self, duration_s: float, failed: bool, in_flight: int
    ) -> None:
        self.failures += failed


class OwnerCase(TestCase):
    """Build an owner and send calls to it."""

    clock: Clock = CLOCK

    def build(self, *script: TargetStatus) -> Owner:
        """Return an owner whose target goes through the states of a script."""
        self.limit = RecordingLimit()
        self.source = ScriptedSource(*script)
        policy = build_default_policy()
        self.admission = AdmissionController(self.limit, policy, self.clock, Random(1))
        client = TargetClient(self.clock)
        self.addCleanup(client.close)
        self.holder = ConfigurationHolder()
        guard = PlacementGuard(EligibilityRules(self.holder), OWN_PLACE)
        self.breaker = CalleeCircuitBreaker(self.clock)
        self.table = QuarantineTable(self.clock)
        self.notifier = RecordingNotifier(self.table)
        self.reader = TargetReader(script[0])
        self.screen = build_screen(
            self.notifier, self.table, client, self.reader, self.clock
        )
        return Owner(
            self.source,
            self.admission,
            client,
            guard,
            self.breaker,
            self.clock,
            Metrics(),
            self.screen,
        )

    def call(
        self,
        owner: Owner,
        body: RequestBody = NO_BODY,
        notice: TargetNotice | None = None,
    ) -> Result[Response, Refusal]:
        context = make_context(deadline_at=self.clock.read_monotonic() + 5)
        context = replace(context, notice=notice)
        return owner.serve(context, body, RetryBudget(0))


class OwnerTests(OwnerCase):
    """Serve calls with a target that accepts connections and never responds."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = Address(host, port)
        self.serving = TargetStatus(TargetState.SERVING, CATALOGUE, self.address)
        self.draining = TargetStatus(TargetState.DRAINING, CATALOGUE, self.address)

    def refuse(self, *script: TargetStatus) -> Reason:
        """Serve one call, which must be refused as not run; return the reason."""
        owner = self.build(*script)
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(owner.count_in_flight(), 0)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)
        return refusal.reason

    def test_draining_or_absent_target_refuses_queued_calls_too(self) -> None:
        for script, reason in (
            ((self.draining,), Reason.DRAINING),
            ((self.serving, self.draining), Reason.DRAINING),
            ((self.serving, ABSENT_TARGET), Reason.NO_TARGET),
        ):
            self.assertEqual(self.refuse(*script), reason)
            self.assertEqual(self.limit.failures, 0)

    def test_evacuated_domain_refuses_until_the_evacuation_ends(self) -> None:
        owner = self.build(self.serving)
        self.holder.replace(Configuration(Version(1), evacuated=frozenset({DOMAIN})))
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.DOMAIN_EVACUATED)
        self.assertTrue(owner.report_load().draining)
        self.holder.replace(Configuration(Version(1)))
        self.assertFalse(owner.report_load().draining)

    def test_call_that_may_not_run_in_this_region_is_refused(self) -> None:
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

    def test_unreachable_target_counts_as_a_failure(self) -> None:
        self.listener.close()
        self.assertEqual(self.refuse(self.serving), Reason.TARGET_UNREACHABLE)
        self.assertEqual(self.limit.failures, 1)

    def test_target_that_refuses_consecutive_connections_is_suspended(self) -> None:
        self.listener.close()
        owner = self.build(self.serving)
        reasons = [
            self.call(owner).unwrap_err().reason
            for _ in range(REFUSED_CONNECTIONS_MAX + 1)
        ]
        unreachable = [Reason.TARGET_UNREACHABLE] * REFUSED_CONNECTIONS_MAX
        self.assertEqual(reasons, [*unreachable, Reason.NO_TARGET])


class ResponseTests(OwnerCase):
    """Serve calls with a target that sends scripted responses."""

    def serve(self, *scripts: Script) -> Owner:
        target = ScriptedTarget(*scripts)
        self.addCleanup(target.close)
        self.serving = TargetStatus(TargetState.SERVING, CATALOGUE, target.address)
        return self.build(self.serving)

    def test_mismatched_target_is_suspended(self) -> None:
        mismatch = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 2\r\n\r\nno"
        owner = self.serve(answer_with(mismatch))
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(refusal.reason, Reason.TARGET_MISMATCH)
        self.assertEqual(self.call(owner).unwrap_err().reason, Reason.NO_TARGET)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_target_without_capacity_lowers_the_limit(self) -> None:
        refused = b"HTTP/1.1 503 Full\r\nX-Corianderhold-Not-Run: 1\r\n"
        owner = self.serve(answer_with(*2 * [refused + b"Content-Length: 0\r\n\r\n"]))
        for _ in range(2):
            self.assertIs(self.call(owner).unwrap_err().reason, Reason.TARGET_FULL)
        self.assertEqual((self.limit.refusals, self.limit.failures), (2, 0))
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_earlier_refusal_sent_again_is_never_taken_for_not_run(self) -> None:
        named = b"X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
        unnamed = b"Content-Length: 0\r\n\r\n"
        whole = b"HTTP/1.1 200 OK\r\n" + named % b"r2"
        refusals = (
            b"HTTP/1.1 503 Full\r\nX-Corianderhold-Not-Run: 1\r\n",
            b"HTTP/1.1 429 Many\r\nX-Corianderhold-Not-Run: 1\r\n",
            b"HTTP/1.1 421 Misdirected\r\nX-Corianderhold-Not-Run: 1\r\n",
        )
        for refused in refusals:
            first = refused + named % b"r1"
            for copy in (first, refused + unnamed):
                with self.subTest(copy):
                    owner = self.serve(answer_with(first, copy + whole))
                    self.assertTrue(self.call_named(owner, "r1").unwrap_err().not_run)
                    self.source.script = [self.serving]
                    second = self.call_named(owner, "r2")
                    if second.is_err():
                        self.assertFalse(second.unwrap_err().not_run)

    def call_named(self, owner: Owner, request_id: str) -> Result[Response, Refusal]:
        """Send a call that has a request id."""
        context = make_context(deadline_at=self.clock.read_monotonic() + 5)
        header = Header("X-Request-Id", request_id)
        context = replace(context, headers=(*context.headers, header))
        return owner.serve(context, NO_BODY, RetryBudget(0))

    def test_responses_are_passed_on_unchanged(self) -> None:
        failed = b"HTTP/1.1 504 Late\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        owner = self.serve(answer_with(failed, chunked + b"2\r\nok\r\n0\r\n\r\n"))
        response = self.call(owner).unwrap()
        self.assertEqual((response.status, response.body), (504, b"no"))
        expected = (Header("Seal", "s"), Header("Content-Length", "2"))
        self.assertEqual(response.headers, expected)
        response = self.call(owner).unwrap()
        self.assertEqual(response.body, b"ok")
        self.assertEqual(response.headers, (Header("Content-Length", "2"),))

    def test_response_sent_at_the_deadline_is_accepted(self) -> None:
        self.clock = clock = FakeClock()
        answered = threading.Event()

        def answer_at_once(connection: socket.socket) -> None:
            take_request(connection)
            connection.sendall(b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
            answered.set()
            connection.recv(1)

        def produce() -> Iterator[bytes]:
            answered.wait()
            clock.advance(5 + RESPONSE_GRACE_S / 2)
            yield b"a"

        owner = self.serve(answer_at_once)
        outcome = self.call(owner, StreamedBody(produce(), None))
        self.assertEqual(outcome.unwrap().status, 504)

    def test_route_that_fails_for_a_cold_callee_is_refused_as_not_run(self) -> None:
        self.clock = FakeClock()
        failed = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
        owner = self.serve(answer_with(*(BREAKER_FAILURES + 1) * [failed]))
        self.breaker.record_callee_refusal(1.5)
        for _ in range(BREAKER_FAILURES + 1):  # the last one is a probe
            self.assertEqual(self.call(owner).unwrap().status, 500)
        refusal = self.call(owner).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertIs(refusal.reason, Reason.CALLEE_COLD)
        self.assertEqual(refusal.retry_after_ms, 1500)

    def test_lost_response_is_never_reported_as_not_run(self) -> None:
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

    def test_truncated_response_is_never_reported_as_complete(self) -> None:
        size = 2 * INLINE_BODY_BYTES
        part = b"a" * size
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * size),
            chunked + b"%x\r\n" % (2 * size),
            chunked + b"%x\r\n%b\r\n" % (size, part),
            b"HTTP/1.1 200 OK\r\n\r\n",
        )

        def truncate(head: bytes) -> Script:
            def play(connection: socket.socket) -> None:
                take_request(connection)
                connection.sendall(head + part)
                reset(connection)

            return play

        for head in heads:
            outcome = self.call(self.serve(truncate(head)))
            if isinstance(outcome, Err):
                self.assertFalse(outcome.err_value.not_run)
                continue
            response = outcome.ok_value
            self.assertIsNone(response.body)
            with self.assertRaises(AnswerTruncatedError):
                list(response.chunks)

    def test_cancelled_response_without_a_length_is_truncated(self) -> None:
        size = 2 * INLINE_BODY_BYTES
        owner = self.serve(answer_with(b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * size))
        response = self.call(owner).unwrap()
        self.assertIsNone(response.body)
        self.assertGreater(len(next(response.chunks)), 0)
        owner.cancel(CallId("c1"))
        with self.assertRaises(AnswerTruncatedError):
            list(response.chunks)
        self.assertEqual(self.limit.failures, 0)
        self.assertEqual(owner.count_in_flight(), 0)
        self.assertEqual(self.admission.report_load(False).in_flight, 0)
