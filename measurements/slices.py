"""
Compare slices that borrow tokens from peers with loans, on 24 daemons.

Runs on a fake clock. Eight organisations send 537 requests per second in total to 24
entries in 6 failure domains; each has a rate of 1.6 times its usual demand and a burst
of one second. A request is refused inside the rate if one always reachable token bucket
for the whole fleet would have admitted it. When demand exceeds the rate, other requests
may be admitted instead; `short_of_rate_worst` compares only the totals. The wide
scenarios have 78 entries, 24 small and eight larger organisations, and run only slices.
`worst_window` is the largest fraction of (rate x 5 s + burst) x 1.1 + 20 that an
organisation was admitted in any 5 s.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from loguru import logger

from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.state.configuration.model import Organisation
from measurements.report import Target, judge_figures, print_figures
from tests.common.rate_fleet import RateFleet
from tests.common.slice_fleet import SliceFleet

DEMANDS = (180.0, 140.0, 100.0, 60.0, 30.0, 15.0, 8.0, 4.0)
RATE_PART = 1.6
DOMAINS = [FailureDomainId(f"domain-{number}") for number in range(6)]
ENTRIES = 4
WARM_UP_S = 10.0
RUN_S = 40.0
FAULT_AT_S = 10.0
WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20.0
SLACK_USED = 20.0  # the part of SLACK that the slices are configured with
WIDE_ENTRIES = 13
LARGER_DEMANDS = (180.0, 140.0, 100.0, 60.0, 40.0, 30.0, 20.0, 15.0)
SMALL_DEMANDS = tuple(1.0 + 0.5 * (number % 7) for number in range(24))
HOT = 2
HOT_SMALL = 10
HOT_FACTOR = 7.5
RESTART_AFTER_S = 2.0
CUT_S = 9.0


class Strategy(Protocol):
    """A fleet that enforces organisations' rates with one strategy."""

    def advance(self) -> float:
        """Advance the clock by one step and return the time."""

    def charge(self, draw: float, organisation: Organisation) -> bool | None:
        """Charge at the entry selected by `draw`; return None if it is down."""

    def kill(self, part: float) -> None:
        """Kill a fraction of the entries."""

    def restart(self) -> None:
        """Restart the killed entries."""

    def cut(self, domain: FailureDomainId) -> None:
        """Partition a domain from the others."""

    def heal(self) -> None:
        """Heal the partition."""

    def count_messages(self) -> int:
        """Return the number of requests between daemons."""


class SliceStrategy:
    """Slices sized by the number of known members."""

    def __init__(
        self, organisations: list[Organisation], seed: int, entries: int
    ) -> None:
        self._fleet = SliceFleet(
            organisations, len(DOMAINS), entries, seed, SLACK_USED, overage=OVERAGE - 1
        )
        self._entries = list(self._fleet.entries.values())

    def advance(self) -> float:
        """Advance by one tick."""
        return self._fleet.tick()

    def charge(self, draw: float, organisation: Organisation) -> bool | None:
        """Charge at one entry."""
        entry = self._entries[int(draw * len(self._entries))]
        return entry.charge(organisation) if entry.up else None

    def kill(self, part: float) -> None:
        """Kill the first entries of the list, which are spread over all domains."""
        for entry in self._entries[: round(part * len(self._entries))]:
            entry.up = False

    def restart(self) -> None:
        """Restart all entries that are down."""
        for entry in self._entries:
            if not entry.up:
                entry.restart()

    def cut(self, domain: FailureDomainId) -> None:
        """Partition a domain."""
        self._fleet.cut.add(domain)

    def heal(self) -> None:
        """Heal the partition."""
        self._fleet.cut.clear()

    def count_messages(self) -> int:
        """Return the number of token requests."""
        return self._fleet.messages


class LoanStrategy:
    """Loans from the domains' stewards; killed daemons are not restarted."""

    def __init__(
        self, organisations: list[Organisation], seed: int, entries: int
    ) -> None:
        self._fleet = RateFleet(organisations, DOMAINS, entries, seed)

    def advance(self) -> float:
        """Advance by one tick."""
        return self._fleet.tick()

    def charge(self, draw: float, organisation: Organisation) -> bool | None:
        """Charge at one entry."""
        node = self._fleet.nodes[int(draw * len(self._fleet.nodes))]
        if node.name in self._fleet.network.dead:
            return None
        now = self._fleet.clock.read_monotonic()
        return node.charger.charge(organisation.name, now).is_ok()

    def kill(self, part: float) -> None:
        """Kill the stewards of the first domain, regardless of `part`."""
        for organisation in self._fleet.configuration.current.organisations:
            steward = self._fleet.find_steward(DOMAINS[0], organisation)
            if steward is not None:
                self._fleet.kill(steward)

    def restart(self) -> None:
        """Do nothing: killed daemons are not restarted."""

    def cut(self, domain: FailureDomainId) -> None:
        """Partition a domain."""
        self._fleet.network.cut.add(domain)

    def heal(self) -> None:
        """Heal the partition."""
        self._fleet.network.cut.clear()

    def count_messages(self) -> int:
        """Return the number of requests for loans and promises."""
        return self._fleet.network.messages


@dataclass
class Account:
    """Outcome counts of one organisation's requests."""

    organisation: Organisation
    usual: float
    ideal: TokenBucket
    inside: int = 0
    refused: int = 0
    served: int = 0
    worst: float = 0.0
    admitted: deque[tuple[float, int]] = field(default_factory=deque)
    in_window: int = 0

    def record_admitted(self, now: float, count: int) -> None:
        """Record admissions and update the sliding window that ends now."""
        self.admitted.append((now, count))
        self.in_window += count
        while self.admitted[0][0] <= now - WINDOW_S:
            self.in_window -= self.admitted.popleft()[1]
        organisation = self.organisation
        allowed = organisation.rate * WINDOW_S + organisation.burst
        self.worst = max(self.worst, self.in_window / (allowed * OVERAGE + SLACK))


@dataclass(frozen=True)
class Scenario:
    """A fault scenario; `kill` is the fraction of entries to kill."""

    name: str
    kill: float = 0.0
    cut: bool = False
    hot: bool = False
    warm_up_s: float = WARM_UP_S
    wide: bool = False

    @property
    def demands(self) -> tuple[float, ...]:
        """Return the requests per second of each organisation."""
        return LARGER_DEMANDS + SMALL_DEMANDS if self.wide else DEMANDS

    @property
    def entries(self) -> int:
        """Return the number of entries in each domain."""
        return WIDE_ENTRIES if self.wide else ENTRIES

    @property
    def hot_number(self) -> int | None:
        """Return the index of the organisation with increased demand, if any."""
        if not self.hot:
            return None
        return HOT_SMALL if self.wide else HOT


SCENARIOS = (
    Scenario("calm"),
    Scenario("first_seconds", warm_up_s=1.0),
    Scenario("hot_organisation", hot=True),
    Scenario("killed", kill=0.25),
    Scenario("half_killed", kill=0.5),
    Scenario("all_killed", kill=1.0),
    Scenario("all_killed_while_hot", kill=1.0, hot=True),
    Scenario("domain_cut", cut=True),
    Scenario("domain_cut_while_hot", cut=True, hot=True),
    Scenario("wide_calm", wide=True),
    Scenario("wide_hot_small_organisation", hot=True, wide=True),
    Scenario("wide_domain_cut", cut=True, wide=True),
    Scenario("wide_all_killed", kill=1.0, wide=True),
)
BuildStrategy = Callable[[list[Organisation], int, int], Strategy]


class Run:
    """Send requests to one strategy through one scenario."""

    def __init__(self, build: BuildStrategy, scenario: Scenario, seed: int) -> None:
        shares = dict.fromkeys(DOMAINS, 1 / len(DOMAINS))
        organisations = [
            Organisation(
                OrganisationId(f"organisation-{number}"),
                usual * RATE_PART,
                usual * RATE_PART,
                shares=shares,
            )
            for number, usual in enumerate(scenario.demands)
        ]
        self._random = Random(seed)
        self._strategy = build(organisations, seed, scenario.entries)
        self._scenario = scenario
        now = self._strategy.advance()
        self.accounts = [
            Account(each, usual, TokenBucket(each.rate, each.burst, now))
            for each, usual in zip(organisations, scenario.demands, strict=True)
        ]
        for account in self.accounts:
            account.ideal.add(now, account.organisation.burst)

    def run(self) -> dict[str, float]:
        """Run the scenario and return its figures."""
        began_at = now = self._strategy.advance()
        while now - began_at < self._scenario.warm_up_s:
            now = self._strategy.advance()
        start, messages = now, self._strategy.count_messages()
        steps = self._list_steps()
        while now - start < RUN_S:
            before, now = now, self._strategy.advance()
            while steps and now - start >= steps[0][0]:
                steps.pop(0)[1]()
            for number, account in enumerate(self.accounts):
                hot = number == self._scenario.hot_number
                factor = HOT_FACTOR if hot and now - start >= FAULT_AT_S / 2 else 1.0
                self._send(account, account.usual * factor * (now - before), now)
        sent = self._strategy.count_messages() - messages
        entries = len(DOMAINS) * self._scenario.entries
        return self._summarize(sent / RUN_S / entries)

    def _list_steps(self) -> list[tuple[float, Callable[[], None]]]:
        """Return the scenario's actions and their times in seconds from the start."""
        scenario, strategy = self._scenario, self._strategy
        if scenario.kill:
            return [
                (FAULT_AT_S, lambda: strategy.kill(scenario.kill)),
                (FAULT_AT_S + RESTART_AFTER_S, strategy.restart),
            ]
        if scenario.cut:
            return [
                (FAULT_AT_S, lambda: strategy.cut(DOMAINS[0])),
                (FAULT_AT_S + CUT_S, strategy.heal),
            ]
        return []

    def _send(self, account: Account, mean: float, now: float) -> None:
        """Send a Poisson-distributed number of requests to random entries."""
        admitted = 0
        passed = self._random.expovariate(1.0)
        while passed < mean:
            passed += self._random.expovariate(1.0)
            charged = self._strategy.charge(self._random.random(), account.organisation)
            if charged is None:
                continue
            inside = account.ideal.take(now)
            account.inside += inside
            account.refused += inside and not charged
            admitted += charged
        account.served += admitted
        account.record_admitted(now, admitted)

    def _summarize(self, messages_per_s: float) -> dict[str, float]:
        """Return refusal ratios, the worst window and the message rate."""
        parts = [account.refused / account.inside for account in self.accounts]
        inside = sum(account.inside for account in self.accounts)
        small = [each for each in self.accounts if each.usual in SMALL_DEMANDS]
        inside_small = sum(each.inside for each in small)
        return {
            "refused_inside": sum(a.refused for a in self.accounts) / inside,
            "refused_inside_small": sum(a.refused for a in small) / inside_small,
            "refused_inside_smallest": parts[-1],
            "refused_inside_worst": max(parts),
            "short_of_rate_worst": max(1 - a.served / a.inside for a in self.accounts),
            "worst_window": max(account.worst for account in self.accounts),
            "messages_per_s": messages_per_s,
        }


def main(seed: int) -> int:
    """Run every scenario with both strategies; return 1 if slices exceed the bound."""
    logger.remove()
    met = True
    for scenario in SCENARIOS:
        figures = Run(SliceStrategy, scenario, seed).run()
        print_figures(f"slices/{scenario.name}", seed, dict(figures))
        met = judge_figures(figures, [Target("worst_window", highest=1.0)]) and met
        if scenario.kill < 1 and not scenario.wide:
            figures = Run(LoanStrategy, scenario, seed).run()
            print_figures(f"loans/{scenario.name}", seed, dict(figures))
    return 0 if met else 1
