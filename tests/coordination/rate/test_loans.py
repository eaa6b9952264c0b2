"""
Test that loans keep an organisation within its rate and burst under faults.

Message loss, partitions, killed stewards, handovers and outages of the store can leave
two daemons with the same tokens. Each safeguard is also removed once, to show that the
check detects its absence.
"""

from contextlib import AbstractContextManager
from random import Random
from unittest.mock import patch

from corianderhold.coordination.rate.lender import Lender
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.state.configuration.model import Organisation
from tests.common.quiet import QuietTestCase
from tests.common.rate_fleet import TICK_S, RateFleet, WindowCheck

ARCHIVE = OrganisationId("archive")
DOMAINS = [FailureDomainId(f"domain-{number}") for number in range(3)]
RATE = 60.0
BURST = 60.0
SHARES = {DOMAINS[0]: 0.5, DOMAINS[1]: 0.3, DOMAINS[2]: 0.2}
ROUNDING = 1e-6
SEEDS = (1, 2, 3)


class FaultyRun:
    """Send random demand to a fleet under random faults and sum up the buckets."""

    def __init__(self, seed: int) -> None:
        organisation = Organisation(ARCHIVE, RATE, BURST, shares=SHARES)
        self.fleet = RateFleet([organisation], DOMAINS, 3, seed)
        self.random = Random(seed)
        self.window = WindowCheck(RATE)
        self.highest_tokens = 0.0
        self.highest_rate = 0.0
        self.admitted = 0
        self._weights = [1.0, 1.0, 1.0]

    def run(self, seconds: float, load: float = 1.5) -> None:
        """Advance time while requests arrive at `load` times the rate."""
        for tick in range(round(seconds / TICK_S)):
            now = self.fleet.tick()
            if tick % 50 == 0:
                self._weights = [self.random.random() ** 3 for _ in DOMAINS]
                self._idle = self.random.random() < 0.3
            self._record_totals(now)
            count = 0 if self._idle else round(RATE * load * TICK_S)
            self.window.note(now, sum(self._send_request(now) for _ in range(count)))

    def _send_request(self, now: float) -> bool:
        """Send one request to a random live node."""
        domain = self.random.choices(DOMAINS, self._weights)[0]
        live = self.fleet.list_live(domain)
        if not live:
            return False
        admitted = self.random.choice(live).charger.charge(ARCHIVE, now).is_ok()
        self.admitted += admitted
        return admitted

    def _record_totals(self, now: float) -> None:
        """Record the highest sums of tokens and rates over entries and stewards."""
        tokens = rate = 0.0
        for node in self.fleet.nodes:
            if node.name in self.fleet.network.dead:
                continue
            account = node.limiter._accounts.get(ARCHIVE)
            if account is not None and now < account.ends_at:
                account.bucket.refill(now)
                tokens += account.bucket.tokens
                rate += account.bucket.rate
            loans = node.steward._find_loans(ARCHIVE)
            if loans is not None:
                loans.lender.advance(now)
                tokens += loans.lender._bucket.tokens
                rate += loans.lender._bucket.rate
        self.highest_tokens = max(self.highest_tokens, tokens)
        self.highest_rate = max(self.highest_rate, rate)

    def inject_faults(self) -> None:
        """Inject partitions, crashes, message loss and store outages in sequence."""
        network = self.fleet.network
        self.run(25)
        self._hand_over()
        self.run(5)
        network.loss = 0.2
        self.run(20)
        network.cut.add(self.random.choice(DOMAINS))
        self.run(20)
        network.cut.clear()
        self._kill_steward()
        self.run(20)
        self.fleet.log.down = True
        self.run(15)
        network.cut.add(self.random.choice(DOMAINS))
        self.run(10)
        network.cut.clear()
        self.fleet.log.down = False
        network.loss = 0.0
        self._kill_steward()
        self.run(25)

    def _kill_steward(self) -> None:
        """Kill the steward of a random domain."""
        steward = self.fleet.find_steward(self.random.choice(DOMAINS), ARCHIVE)
        if steward is not None:
            self.fleet.kill(steward)

    def _hand_over(self) -> None:
        """Hand over the lease of the first domain's steward."""
        steward = self.fleet.find_steward(DOMAINS[0], ARCHIVE)
        if steward is not None:
            steward.manager.hand_over()

    def is_within(self) -> bool:
        """Return whether rate and burst held in every window and at every step."""
        return (
            self.window.worst <= BURST + ROUNDING
            and self.highest_tokens <= BURST + ROUNDING
            and self.highest_rate <= RATE + ROUNDING
        )


class LoanTests(QuietTestCase):
    """Check rate and burst under faults, with and without the safeguards."""

    def test_rate_and_burst_hold_under_every_fault(self) -> None:
        for seed in SEEDS:
            run = FaultyRun(seed)
            run.inject_faults()
            self.assertTrue(run.is_within(), vars(run))
            self.assertGreater(run.admitted, RATE * 25)

    def test_each_missing_safeguard_is_detected(self) -> None:
        rate = "corianderhold.coordination.rate"

        def resize(lender: Lender, now: float) -> None:
            lender._bucket.resize(now, 0.0, BURST * 0.5)
            lender._bucket.add(now, TICK_S * RATE)

        def confirm(lender: Lender, now: float, loan: object, ask: object) -> None:
            loan.grants = []  # type: ignore[attr-defined]
            lender._resize(now)

        broken: dict[str, AbstractContextManager[object]] = {
            "burst not reduced by grants": patch.object(Lender, "_resize", resize),
            "loan released early": patch(f"{rate}.lender.ENTRY_LOAN_RESERVED_S", 0.5),
            "share lent before the old loans expire": patch(
                f"{rate}.steward.DOMAIN_LOAN_RESERVED_S", 0.0
            ),
            "unconfirmed grant released": patch.object(Lender, "_confirm", confirm),
        }
        for name, without_safeguard in broken.items():
            with self.subTest(name), without_safeguard:
                runs = [FaultyRun(seed) for seed in SEEDS]
                for run in runs:
                    run.inject_faults()
                self.assertFalse(all(run.is_within() for run in runs))


class LoanServiceTests(QuietTestCase):
    """Check that loans follow the demand, and the cost of faults."""

    def setUp(self) -> None:
        organisation = Organisation(ARCHIVE, RATE, BURST, shares=SHARES)
        self.fleet = RateFleet([organisation], DOMAINS, 3, 1)

    def send_demand(self, domain: FailureDomainId, seconds: float) -> int:
        admitted = 0
        for _ in range(round(seconds / TICK_S)):
            now = self.fleet.tick()
            for node in self.fleet.list_live(domain):
                admitted += node.charger.charge(ARCHIVE, now).is_ok()
        return admitted

    def test_one_domain_gets_more_than_its_share(self) -> None:
        self.send_demand(DOMAINS[2], 20)
        own = RATE * SHARES[DOMAINS[2]] * 10
        self.assertGreater(self.send_demand(DOMAINS[2], 10), 1.5 * own)

    def test_partitioned_domain_keeps_its_share(self) -> None:
        self.send_demand(DOMAINS[0], 20)
        self.fleet.network.cut.add(DOMAINS[0])
        self.send_demand(DOMAINS[0], 20)
        own = RATE * SHARES[DOMAINS[0]] * 10
        self.assertGreater(self.send_demand(DOMAINS[0], 10), 0.8 * own)

    def test_store_outage_does_not_reduce_admission(self) -> None:
        self.send_demand(DOMAINS[0], 20)
        before = self.send_demand(DOMAINS[0], 10)
        self.fleet.log.down = True
        self.send_demand(DOMAINS[0], 100)
        self.assertGreater(self.send_demand(DOMAINS[0], 10), 0.9 * before)

    def test_another_steward_replaces_a_killed_one(self) -> None:
        self.send_demand(DOMAINS[0], 20)
        steward = self.fleet.find_steward(DOMAINS[0], ARCHIVE)
        assert steward is not None
        self.fleet.kill(steward)
        self.send_demand(DOMAINS[0], 25)
        self.assertGreater(self.send_demand(DOMAINS[0], 10), 0)
        self.assertIsNot(self.fleet.find_steward(DOMAINS[0], ARCHIVE), steward)

    def test_planned_stop_hands_the_lease_over(self) -> None:
        self.send_demand(DOMAINS[0], 20)
        steward = self.fleet.find_steward(DOMAINS[0], ARCHIVE)
        assert steward is not None
        steward.manager.hand_over()
        self.fleet.run(3)
        self.assertIsNotNone(self.fleet.find_steward(DOMAINS[0], ARCHIVE))
