"""Test that an owner sends nothing to a target that is leaving."""

import socket
from random import Random
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.coordination.call import InlineBody
from corianderhold.coordination.owner.admission import Admission
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.owner.policy import (
    build_default_policy,
)
from corianderhold.coordination.retry import RetryBudget
from corianderhold.metrics import Metrics
from corianderhold.protocol.verdict import Reason
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import ABSENT_TARGET, TargetStatus
from corianderhold.transport.web.target import TargetClient
from tests.common.calls import CATALOGUE, make_context

CLOCK = SystemClock()


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

    def note_completion(self, duration_s: float, failed: bool, in_flight: int) -> None:
        self.failures += failed


class OwnerTests(TestCase):
    """Serve calls beside a target that only listens."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = Address(host, port)
        self.limit = RecordingLimit()
        self.serving = TargetStatus(TargetState.SERVING, CATALOGUE, self.address)
        self.draining = TargetStatus(TargetState.DRAINING, CATALOGUE, self.address)

    def refuse(self, *script: TargetStatus) -> Reason:
        """Serve one call, which must be refused as not run, and return why."""
        admission = Admission(self.limit, build_default_policy(), CLOCK, Random(1))
        client = TargetClient(CLOCK)
        owner = Owner(ScriptedSource(*script), admission, client, CLOCK, Metrics())
        context = make_context(deadline_at=CLOCK.read_monotonic() + 5)
        refusal = owner.serve(context, InlineBody(b""), RetryBudget(0)).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertEqual(owner.count_in_flight(), 0)
        self.assertEqual(admission.report_load(False).in_flight, 0)
        return refusal.reason

    def test_draining_target_is_refused_at_once(self) -> None:
        self.assertEqual(self.refuse(self.draining), Reason.DRAINING)

    def test_call_that_waited_is_refused_after_a_drain(self) -> None:
        reason = self.refuse(self.serving, self.draining)
        self.assertEqual(reason, Reason.DRAINING)

    def test_call_that_waited_is_refused_after_the_loss_of_the_target(self) -> None:
        reason = self.refuse(self.serving, ABSENT_TARGET)
        self.assertEqual(reason, Reason.NO_TARGET)
        self.assertEqual(self.limit.failures, 0)

    def test_unreachable_target_counts_as_its_failure(self) -> None:
        self.listener.close()
        self.assertEqual(self.refuse(self.serving), Reason.TARGET_UNREACHABLE)
        self.assertEqual(self.limit.failures, 1)
