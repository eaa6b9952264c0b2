"""
Test that an entry counts the lifetime of a loan from before its request.

If it were counted from the response, a slow response would let the entry use the loan
after the lender released it, and tokens would be used twice.
"""

from dataclasses import dataclass, field

from result import Ok, Result

from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.lease.promises import PromiseClient
from corianderhold.coordination.rate.const import ENTRY_LOAN_S
from corianderhold.coordination.rate.entry import EntryLoans
from corianderhold.coordination.rate.limiter import AllowanceLimiter
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.lease.codec import encode_reply as encode_promise_reply
from corianderhold.protocol.lease.model import PromiseAsk, PromiseReply
from corianderhold.protocol.peer.control import ControlFailure, ControlTopic
from corianderhold.protocol.rate.codec import decode_request, encode_reply
from corianderhold.protocol.rate.model import LoanGrant, LoanReply, LoanRequest
from corianderhold.state.lease.model import LeaseHolder, ShardId
from corianderhold.state.membership.model import Address
from tests.common.clock import FakeClock
from tests.common.quiet import QuietTestCase
from tests.common.rate_fleet import RateFleet

ARCHIVE = OrganisationId("archive")
DOMAIN = FailureDomainId("domain")
DELAY_S = 0.4


@dataclass
class SlowControl:
    """Respond after DELAY_S with a large grant, or with a promise."""

    clock: FakeClock
    requests: list[LoanRequest] = field(default_factory=list)
    malformed: bool = False

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        self.clock.advance(DELAY_S)
        if self.malformed:
            return Ok(b"\x0b")
        if topic is ControlTopic.LEASE:
            return Ok(encode_promise_reply(PromiseReply((ShardId("shard"),))))
        self.requests.append(decode_request(body))
        grant = LoanGrant(ARCHIVE, len(self.requests), 100.0, 100.0, 50.0)
        return Ok(encode_reply(LoanReply(True, (grant,))))


class EntryLoansTests(QuietTestCase):
    """Check one entry whose steward responds slowly."""

    def setUp(self) -> None:
        members = RateFleet([], [DOMAIN], 1, 1).members
        self.clock = FakeClock()
        self.control = SlowControl(self.clock)
        node = LeaseHolder(InstanceId("domain-0"), Incarnation(1))
        locator = HolderLocator(members)
        client = StewardClient(node, DOMAIN, False, self.clock, self.control, locator)
        self.asker = PromiseClient(self.clock, self.control, members)
        self.limiter = AllowanceLimiter()
        self.loans = EntryLoans(self.limiter, client, DOMAIN, self.clock)

    def charge(self) -> bool:
        now = self.clock.read_monotonic()
        return self.limiter.charge(ARCHIVE, now).is_ok()

    def test_loan_ends_a_time_after_its_request_was_sent(self) -> None:
        self.charge()
        self.loans.renew()
        self.clock.advance(ENTRY_LOAN_S - DELAY_S - 0.01)
        self.assertTrue(self.charge())
        self.clock.advance(0.02)
        self.assertFalse(self.charge())

    def test_ended_loan_is_not_named_in_the_next_request(self) -> None:
        self.charge()
        self.loans.renew()
        self.charge()
        self.loans.renew()
        self.clock.advance(ENTRY_LOAN_S)
        self.charge()
        self.loans.renew()
        applied = [request.asks[0].applied for request in self.control.requests]
        self.assertEqual(applied, [0, 1, 0])

    def test_idle_organisation_is_released_with_its_tokens(self) -> None:
        self.charge()
        self.loans.renew()
        for _ in range(100):
            self.clock.advance(0.6)
            self.loans.renew()
        last = self.control.requests[-1].asks[0]
        self.assertEqual((last.capacity, last.demand), (0.0, 0.0))
        self.assertGreater(last.returned, 0.0)
        self.assertFalse(self.charge())

    def test_malformed_reply_changes_nothing(self) -> None:
        self.charge()
        self.control.malformed = True
        self.loans.renew()
        self.assertFalse(self.charge())

    def test_promise_counts_from_before_its_request(self) -> None:
        began_at = self.clock.read_monotonic()
        ask = PromiseAsk(ShardId("shard"), 1)
        response = self.asker.ask(InstanceId("domain-0"), [ask])
        assert response is not None
        self.assertEqual(response.sent_at, began_at)
