"""
Compare rate loans with static slices and a single central counter.

Runs on a fake clock: 24 daemons in 6 failure domains, and one organisation with 240
requests per second and a burst of 240, or a small one with 60 and 60. `worst_window`
is the largest excess admitted in any window over rate times its length, as a fraction
of the burst; above 1 violates the limit. A request is refused inside the rate if one
always reachable token bucket for the whole fleet would have admitted it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from loguru import logger

from corianderhold.coordination.rate.bucket import TokenBucket
from corianderhold.coordination.rate.limiter import Allowance, AllowanceLimiter
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.state.configuration.model import Organisation
from measurements.report import Target, judge_figures, print_figures
from tests.common.rate_fleet import TICK_S, Node, RateFleet, WindowCheck

ARCHIVE = OrganisationId("archive")
RATE = 240.0
BURST = 240.0
SMALL_PART = 0.25
DOMAINS = [FailureDomainId(f"domain-{number}") for number in range(6)]
ENTRIES = 4
WARM_UP_S = 30.0
FAULT_AT_S = 30.0
LOAD = 0.8
HOT_PART = 0.8
MOVE_INTERVAL_S = 30.0
BURST_INTERVAL_S = 20.0
BURST_LENGTH_S = 0.5
BURST_PART = 0.8
BURST_BASE_LOAD = 0.3
COUNTER_REPLACED_AFTER_S = 10.0

Demand = Callable[[float], dict[FailureDomainId, float]]


def find_even_demand(elapsed: float) -> dict[FailureDomainId, float]:
    """Return requests per second by domain: equal in all."""
    return dict.fromkeys(DOMAINS, RATE * LOAD / len(DOMAINS))


def find_hot_demand(hot: FailureDomainId) -> dict[FailureDomainId, float]:
    """Return requests per second by domain: HOT_PART in one of them."""
    others = RATE * LOAD * (1 - HOT_PART) / (len(DOMAINS) - 1)
    return dict.fromkeys(DOMAINS, others) | {hot: RATE * LOAD * HOT_PART}


def find_skewed_demand(elapsed: float) -> dict[FailureDomainId, float]:
    """Return requests per second by domain: one hot domain."""
    return find_hot_demand(DOMAINS[1])


def find_moving_demand(elapsed: float) -> dict[FailureDomainId, float]:
    """Return requests per second by domain: the hot domain changes."""
    position = 1 + int(elapsed / MOVE_INTERVAL_S)
    return find_hot_demand(DOMAINS[position % len(DOMAINS)])


def find_bursting_demand(elapsed: float) -> dict[FailureDomainId, float]:
    """Return requests per second by domain: short bursts in changing domains."""
    base = RATE * BURST_BASE_LOAD / len(DOMAINS)
    demand = dict.fromkeys(DOMAINS, base)
    if elapsed % BURST_INTERVAL_S < BURST_LENGTH_S:
        hot = DOMAINS[int(elapsed / BURST_INTERVAL_S) % len(DOMAINS)]
        demand[hot] += BURST * BURST_PART / BURST_LENGTH_S
    return demand


DEMANDS: dict[str, Demand] = {
    "even": find_even_demand,
    "skewed": find_skewed_demand,
    "moving": find_moving_demand,
    "bursting": find_bursting_demand,
}


@dataclass(frozen=True)
class Fault:
    """A fault that begins at FAULT_AT_S; durations in seconds."""

    name: str
    length_s: float
    run_s: float


FAULTS = (
    Fault("healthy", 0.0, 120.0),
    Fault("domain_cut_off", 60.0, 150.0),
    Fault("steward_killed", COUNTER_REPLACED_AFTER_S, 120.0),
    Fault("store_down", 600.0, 660.0),
)


class Strategy(Protocol):
    """A strategy to limit an organisation to its rate."""

    def charge(self, now: float, node: Node) -> bool:
        """Charge a request that arrived at a node; return whether it is admitted."""


class LoanStrategy:
    """Charge against loans."""

    def charge(self, now: float, node: Node) -> bool:
        """Charge at the node's own limiter."""
        return node.charger.charge(ARCHIVE, now).is_ok()


class StaticStrategy:
    """Charge against a fixed slice per entry."""

    def __init__(self, size: float) -> None:
        self._size = size
        self._limiters: dict[str, AllowanceLimiter] = {}

    def charge(self, now: float, node: Node) -> bool:
        """Charge at the node's slice, which is full at the start of the run."""
        limiter = self._limiters.get(node.name)
        if limiter is None:
            part = self._size / (len(DOMAINS) * ENTRIES)
            limiter = AllowanceLimiter()
            slice_ = Allowance(RATE * part, BURST * part)
            limiter.set_allowance(ARCHIVE, slice_, now, slice_.capacity)
            self._limiters[node.name] = limiter
        return limiter.charge(ARCHIVE, now).is_ok()


@dataclass
class CounterStrategy:
    """Charge at one central counter in the first domain."""

    fleet: RateFleet
    bucket: TokenBucket
    dead: bool = False

    def charge(self, now: float, node: Node) -> bool:
        """Charge at the counter; refuse the request if it is unreachable."""
        reached = self.fleet.network.connects(node.domain, DOMAINS[0])
        return reached and not self.dead and self.bucket.take(now)


@dataclass
class Tally:
    """Admission counts of one strategy."""

    strategy: Strategy
    window: WindowCheck
    admitted: int = 0
    refused_inside: int = 0


class Run:
    """Send the same requests to every strategy under a fault."""

    def __init__(
        self, demand: Demand, fault: Fault, seed: int, size: float = 1.0
    ) -> None:
        shares = dict.fromkeys(DOMAINS, 1 / len(DOMAINS))
        self._rate, self._burst = RATE * size, BURST * size
        self._size = size
        organisation = Organisation(ARCHIVE, self._rate, self._burst, shares=shares)
        self._fleet = RateFleet([organisation], DOMAINS, ENTRIES, seed)
        self.seed = seed
        self._random = Random(seed + 2)
        self._demand = demand
        self._fault = fault
        self._inside = 0
        now = self._fleet.clock.read_monotonic()
        self._ideal = TokenBucket(self._rate, self._burst, now)
        bucket = TokenBucket(self._rate, self._burst, now)
        self._counter = CounterStrategy(self._fleet, bucket)
        self.tallies = {
            "loans": self._build_tally(LoanStrategy()),
            "static": self._build_tally(StaticStrategy(size)),
            "counter": self._build_tally(self._counter),
        }

    def _build_tally(self, strategy: Strategy) -> Tally:
        """Return an empty tally for one strategy."""
        return Tally(strategy, WindowCheck(self._rate))

    def run(self) -> None:
        """Warm up, then count requests until the end of the run."""
        began_at = self._fleet.clock.read_monotonic()
        end = WARM_UP_S + self._fault.run_s
        for tick in range(round(end / TICK_S)):
            now = self._fleet.tick()
            elapsed = now - began_at - WARM_UP_S
            if tick == round((WARM_UP_S + FAULT_AT_S) / TICK_S):
                self._begin_fault(elapsed)
            if tick == round((WARM_UP_S + FAULT_AT_S + self._fault.length_s) / TICK_S):
                self._end_fault(now)
            self._send_requests(now, elapsed)

    def _begin_fault(self, elapsed: float) -> None:
        """Inject the fault in the domain with the highest demand."""
        demand = self._demand(elapsed)
        hot = max(DOMAINS, key=lambda domain: demand[domain])
        if self._fault.name == "domain_cut_off":
            self._fleet.network.cut.add(hot)
        if self._fault.name == "store_down":
            self._fleet.log.down = True
        if self._fault.name == "steward_killed":
            steward = self._fleet.find_steward(hot, ARCHIVE)
            if steward is not None:
                self._fleet.kill(steward)
            self._counter.dead = True

    def _end_fault(self, now: float) -> None:
        """Clear the fault; a replaced counter starts empty."""
        self._fleet.network.cut.clear()
        self._fleet.log.down = False
        if self._counter.dead:
            self._counter.dead = False
            self._counter.bucket = TokenBucket(self._rate, self._burst, now)

    def _send_requests(self, now: float, elapsed: float) -> None:
        """Send one tick's requests to all strategies, shuffled over live nodes."""
        targets: list[Node] = []
        for domain, rate in self._demand(elapsed).items():
            live = self._fleet.list_live(domain)
            for _ in range(self._draw_count(rate * self._size * TICK_S)):
                targets.append(self._random.choice(live))
        self._random.shuffle(targets)
        counts = dict.fromkeys(self.tallies, 0)
        for node in targets:
            inside = self._ideal.take(now)
            counted = elapsed >= 0
            self._inside += inside and counted
            for name, tally in self.tallies.items():
                admitted = tally.strategy.charge(now, node)
                counts[name] += admitted
                if counted:
                    tally.admitted += admitted
                    tally.refused_inside += inside and not admitted
        for name, tally in self.tallies.items():
            tally.window.note(now, counts[name])

    def _draw_count(self, mean: float) -> int:
        """Draw a Poisson-distributed number."""
        count = 0
        passed = self._random.expovariate(1.0)
        while passed < mean:
            count += 1
            passed += self._random.expovariate(1.0)
        return count

    def summarize(self) -> dict[str, float]:
        """Return the figures of all strategies."""
        figures: dict[str, float] = {}
        allowed = self._rate * self._fault.run_s + self._burst
        for name, tally in self.tallies.items():
            figures[f"{name}_admitted_of_allowed"] = tally.admitted / allowed
            figures[f"{name}_worst_window"] = tally.window.worst / self._burst
            figures[f"{name}_refused_inside"] = tally.refused_inside / self._inside
        return figures


def main(seed: int) -> int:
    """Run every demand under every fault; return 1 if the limit is exceeded."""
    logger.remove()
    met = True
    for fault in FAULTS:
        for name, demand in DEMANDS.items():
            met = judge_run(f"{name}/{fault.name}", Run(demand, fault, seed)) and met
    for name, demand in DEMANDS.items():
        run = Run(demand, FAULTS[0], seed, SMALL_PART)
        met = judge_run(f"{name}/small_organisation", run) and met
    return 0 if met else 1


def judge_run(name: str, run: Run) -> bool:
    """Run one scenario, print its figures and check the limit."""
    run.run()
    figures = run.summarize()
    print_figures(name, run.seed, dict(figures))
    return judge_figures(figures, [Target("loans_worst_window", highest=1.0)])
