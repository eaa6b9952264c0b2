"""
Test charges at the steward for organisations without tokens at an entry.

An entry that has just begun to receive an organisation's calls has no loan yet. Without
a charge at the steward it would refuse calls within the rate, and with one for each
refused call it would flood the steward.
"""

from unittest.mock import patch

from corianderhold.coordination.rate.const import CHARGE_BACKOFF_S
from corianderhold.coordination.rate.limiter import Allowance
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.model import Organisation
from tests.common.quiet import QuietTestCase
from tests.common.rate_fleet import Node, RateFleet

ARCHIVE = OrganisationId("archive")
SMALL = OrganisationId("small")
DOMAIN = FailureDomainId("domain")


class CountingClient:
    """Count requests and return no response."""

    sent = 0

    def send(self, *arguments: object) -> None:
        self.sent += 1


class StewardChargerTests(QuietTestCase):
    """Check charges in one domain with four entries."""

    def setUp(self) -> None:
        shares = {DOMAIN: 1.0}
        organisations = [
            Organisation(ARCHIVE, 100.0, 100.0, shares=shares),
            Organisation(SMALL, 1.0, 2.0, shares=shares),
        ]
        self.fleet = RateFleet(organisations, [DOMAIN], 4, 1)
        self.fleet.run(10)

    def charge(self, node: Node, organisation: OrganisationId) -> bool:
        now = self.fleet.clock.read_monotonic()
        return node.charger.charge(organisation, now).is_ok()

    def test_first_call_at_an_entry_is_admitted(self) -> None:
        self.assertTrue(all(self.charge(node, ARCHIVE) for node in self.fleet.nodes))

    def test_warm_organisation_makes_no_request(self) -> None:
        node = self.fleet.nodes[0]
        for _ in range(50):
            self.charge(node, ARCHIVE)
            self.fleet.run(0.1)
        before = self.fleet.network.messages
        self.assertTrue(self.charge(node, ARCHIVE))
        self.assertEqual(self.fleet.network.messages, before)

    def test_small_organisation_gets_its_burst_from_any_entry(self) -> None:
        admitted = [self.charge(node, SMALL) for node in self.fleet.nodes]
        self.assertEqual(admitted, [True, True, False, False])

    def test_no_request_soon_after_a_refusal(self) -> None:
        node = self.fleet.nodes[0]
        while self.charge(node, SMALL):
            pass
        before = self.fleet.network.messages
        now = self.fleet.clock.read_monotonic()
        refusal = node.charger.charge(SMALL, now).unwrap_err()
        self.assertEqual(self.fleet.network.messages, before)
        self.assertEqual(refusal.reason, Reason.RATE_EXCEEDED)
        self.assertGreaterEqual(refusal.retry_after_ms, int(CHARGE_BACKOFF_S * 1000))

    def test_lasting_refusal_costs_few_requests(self) -> None:
        node = self.fleet.nodes[0]
        node.charger._client = CountingClient()  # type: ignore[assignment]
        for _ in range(300):
            self.charge(node, SMALL)
            self.fleet.clock.advance(0.1)
        self.assertLessEqual(node.charger._client.sent, 40)  # type: ignore[attr-defined]

    def test_steward_is_asked_where_a_loan_has_no_token_left(self) -> None:
        node = self.fleet.nodes[0]
        self.fleet.run(5)
        now = self.fleet.clock.read_monotonic()
        node.limiter.set_allowance(ARCHIVE, Allowance(0.1, 5.0, now + 1.0), now)
        self.assertTrue(self.charge(node, ARCHIVE))

    def test_token_that_comes_too_late_is_not_used(self) -> None:
        with patch("corianderhold.coordination.rate.charger.SINGLE_LOAN_S", 0.0):
            self.assertFalse(self.charge(self.fleet.nodes[0], ARCHIVE))

    def test_unreachable_steward_refuses(self) -> None:
        self.fleet.network.loss = 1.0
        self.assertFalse(self.charge(self.fleet.nodes[0], ARCHIVE))
