"""
Test which requests a steward accepts.

A daemon that lends without the lease, or its share too early in a new tenure, lends
tokens that another holder has lent already.
"""

from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.peer.control import ControlSender
from corianderhold.protocol.rate.codec import decode_reply, encode_request
from corianderhold.protocol.rate.model import LoanAsk, LoanReply, LoanRequest
from corianderhold.state.configuration.model import Organisation
from corianderhold.state.lease.model import ShardId
from tests.common.quiet import QuietTestCase
from tests.common.rate_fleet import Node, RateFleet

ARCHIVE = OrganisationId("archive")
EAST = FailureDomainId("east")
WEST = FailureDomainId("west")
ASKER = InstanceId("asker")


class FixedGuard:
    """Hold every shard with the tenure set by the test."""

    tenure: int | None = 1

    def find_tenure(self, shard: ShardId) -> int | None:
        return self.tenure

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        return None


class RateStewardTests(QuietTestCase):
    """Check requests from entries, other stewards and unknown senders."""

    def setUp(self) -> None:
        shares = {EAST: 0.5, WEST: 0.5}
        organisation = Organisation(ARCHIVE, 10.0, 10.0, shares=shares)
        self.fleet = RateFleet([organisation], [EAST, WEST], 2, 1)
        self.fleet.run(5)
        steward = self.fleet.find_steward(EAST, ARCHIVE)
        assert steward is not None
        self.steward: Node = steward

    def ask(
        self,
        node: Node,
        domain: FailureDomainId,
        steward: bool = False,
        sender: InstanceId = ASKER,
        organisation: OrganisationId = ARCHIVE,
    ) -> LoanReply:
        loan_ask = LoanAsk(organisation, 0, 0.0, 0.0, 4.0, 1.0)
        request = LoanRequest(ASKER, Incarnation(1), 1, domain, steward, (loan_ask,))
        body = encode_request(request)
        response = node.steward.handle_control(ControlSender(sender), body)
        return decode_reply(response)

    def test_entries_and_stewards_of_other_domains_get_loans(self) -> None:
        reply = self.ask(self.steward, EAST)
        self.assertTrue(reply.accepted)
        self.assertGreater(reply.grants[0].rate, 4.0)
        self.assertTrue(self.ask(self.steward, WEST, steward=True).accepted)

    def test_daemon_without_the_lease_names_the_holder(self) -> None:
        others = [n for n in self.fleet.list_live(EAST) if n is not self.steward]
        reply = self.ask(others[0], EAST)
        self.assertFalse(reply.accepted)
        self.assertEqual(reply.holder, self.steward.name)

    def test_new_tenure_starts_without_the_share(self) -> None:
        guard = FixedGuard()
        self.steward.steward._guard = guard
        self.assertGreater(self.ask(self.steward, EAST).grants[0].rate, 4.0)
        guard.tenure = 3
        self.assertEqual(self.ask(self.steward, EAST).grants[0].rate, 0.0)
        guard.tenure = None
        self.assertFalse(self.ask(self.steward, EAST).accepted)

    def test_unknown_senders_unknown_organisations_and_malformed_requests(self) -> None:
        self.assertFalse(self.ask(self.steward, WEST).accepted)
        unknown_sender = InstanceId("stranger")
        self.assertFalse(self.ask(self.steward, EAST, sender=unknown_sender).accepted)
        unknown = OrganisationId("unknown")
        self.assertEqual(self.ask(self.steward, EAST, organisation=unknown).grants, ())
        sender = ControlSender(ASKER)
        response = self.steward.steward.handle_control(sender, b"\x0b\x00\x01")
        self.assertFalse(decode_reply(response).accepted)
