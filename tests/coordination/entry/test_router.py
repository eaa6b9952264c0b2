"""Test how the router ends calls that no owner takes."""

from random import Random
from unittest import TestCase

from result import Err, Result

from corianderhold.coordination.call import (
    Answer,
    CallContext,
    InlineBody,
    RequestBody,
)
from corianderhold.coordination.entry.choice import LocalityChooser, Place
from corianderhold.coordination.entry.router import Router
from corianderhold.coordination.entry.sender import PeerSender
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.messages import LoadReport
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import Member
from corianderhold.transport.peer.handshake import Identity
from corianderhold.transport.peer.pool import LinkPool
from tests.common.calls import make_context, make_member
from tests.common.clock import FakeClock

MEMBER = make_member("only")
FULL = refuse_not_run(Reason.QUEUE_FULL, retry_after_ms=200)


class OneMember:
    """Know one member."""

    def list_owners(self, service: str) -> tuple[Member, ...]:
        return (MEMBER,)

    def list_members(self) -> tuple[Member, ...]:
        return (MEMBER,)


class FullOwner:
    """Refuse every call because the queue is full."""

    def __init__(self) -> None:
        self.calls = 0

    def serve(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Answer, Refusal]:
        self.calls += 1
        return Err(FULL)

    def cancel(self, call_id: CallId) -> None:
        """Ignore the call."""

    def report_load(self) -> LoadReport:
        return LoadReport(limit=1)


class RouterTests(TestCase):
    """Route calls at a daemon whose own target is the only one."""

    def test_reason_of_the_last_owner_is_kept_when_none_is_left(self) -> None:
        clock = FakeClock()
        place = Place(MEMBER.instance, MEMBER.domain, MEMBER.region)
        identity = Identity(MEMBER.instance, MEMBER.incarnation, b"secret")
        owner = FullOwner()
        router = Router(
            MEMBER.instance,
            OneMember(),
            ConfigurationHolder(),
            LocalityChooser(place, clock, Random(1)),
            owner,
            PeerSender(LinkPool(identity, clock), clock),
            clock,
            Metrics(),
        )
        context = make_context(deadline_at=clock.read_monotonic() + 10.0)
        outcome = router.route(context, InlineBody(b""), RetryBudget(2))
        self.assertEqual(outcome, Err(FULL))
        self.assertEqual(owner.calls, 1)
