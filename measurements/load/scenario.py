"""Define the overload scenarios and send their load."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, replace

from emulator.callers import (
    Arrival,
    LoadGenerator,
    LoadPlan,
    RetryMode,
    generate_arrivals,
)
from emulator.ledger import Call, Ledger
from emulator.sample import BROADCASTER_KEY, SCHOOLS_KEY
from measurements.load.deployment import (
    DEADLINE_MS,
    DEEP_CAPACITY,
    DEEP_INSTANCES,
    ENTRIES,
    PATHS,
)
from tests.common.fleet import Fleet

BASE_RATE = 0.8 * DEEP_CAPACITY
CAUSE_STARTS_S = 1.5
CAUSE_ENDS_S = 5.5
ENDS_S = 9.5
WORKERS = 500
CALLER_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5
HARD_RETRIES = 3


@dataclass(frozen=True)
class Scenario:
    """
    A cause of overload between CAUSE_STARTS_S and CAUSE_ENDS_S.

    `rate` is each organisation's limit in requests per second. The extra load starts
    and ends with the cause.
    """

    name: str
    rate: float
    extra_rate: float = 0.0
    extra_keys: tuple[str, ...] = (BROADCASTER_KEY, SCHOOLS_KEY)
    slow_factor: float = 1.0
    retries: int = 0

    @property
    def capacity(self) -> float:
        """Return the deep targets' requests per second during the cause."""
        return DEEP_CAPACITY / self.slow_factor


SCENARIOS = (
    Scenario("surge_x3", rate=10 * BASE_RATE, extra_rate=2 * BASE_RATE),
    Scenario(
        "deep_slow_x10", rate=10 * BASE_RATE, slow_factor=10.0, retries=HARD_RETRIES
    ),
    Scenario(
        "organisation_x5",
        rate=0.6 * BASE_RATE,
        extra_rate=2 * BASE_RATE,
        extra_keys=(SCHOOLS_KEY,),
    ),
)


def generate_load(
    fleet: Fleet, scenario: Scenario, seed: int
) -> tuple[LoadPlan, list[Arrival]]:
    """Return the plan and the arrivals of all phases, in order."""
    addresses = [fleet.members[name].get_address("caller") for name in ENTRIES]
    plan = LoadPlan(
        addresses,
        (BROADCASTER_KEY, SCHOOLS_KEY),
        PATHS,
        "GET",
        BASE_RATE,
        ENDS_S,
        scenario.retries,
        RetryMode.HARD,
        idempotency_keys=False,
        timeout_s=CALLER_TIMEOUT_S,
    )
    arrivals = generate_arrivals(plan, seed)
    if scenario.extra_rate:
        extra = replace(
            plan,
            keys=scenario.extra_keys,
            rate=scenario.extra_rate,
            duration_s=CAUSE_ENDS_S - CAUSE_STARTS_S,
        )
        arrivals += [
            replace(each, at_s=each.at_s + CAUSE_STARTS_S)
            for each in generate_arrivals(extra, seed + 1000)
        ]
    return plan, sorted(arrivals, key=lambda each: each.at_s)


def run_scenario(fleet: Fleet, scenario: Scenario, seed: int) -> Sequence[Call]:
    """Send the load of a scenario, inject its fault and return all calls."""
    plan, arrivals = generate_load(fleet, scenario, seed)
    ledger = Ledger()
    fault = threading.Timer(CAUSE_STARTS_S, slow_targets, (fleet, scenario))
    fault.start()
    LoadGenerator(plan, arrivals, ledger).run(WORKERS)
    fault.join()
    return ledger.calls


def slow_targets(fleet: Fleet, scenario: Scenario) -> None:
    """Multiply the service time of the deep targets until the cause ends."""
    faults = {
        "slow_factor": scenario.slow_factor,
        "slow_for_s": CAUSE_ENDS_S - CAUSE_STARTS_S,
    }
    for instance in DEEP_INSTANCES:
        fleet.set_target_faults(instance, faults)
