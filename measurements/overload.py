"""
Measure how a small fleet of real processes serves under overload.

Each control policy runs the same scenarios. The deployment is scaled down to a load
that a shared machine can carry: two failure domains, each with one daemon and target
for each of two services, of which the deep one is the bottleneck. Rates are enforced
by fixed slices. Only the product's own policy is checked against the targets.
"""

from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from emulator.sample import BROADCASTER_KEY
from measurements.load.deployment import (
    ATTEMPTS_MAX,
    CONTROLS,
    DEEP_CAPACITY,
    DEEP_LIMIT,
    DEEP_SLOTS,
    ENTRIES,
    NORMAL_PATH,
    PLANS,
    Control,
    build_records,
)
from measurements.load.figures import compute_figures, count_attempts
from measurements.load.scenario import (
    BASE_RATE,
    CAUSE_ENDS_S,
    CAUSE_STARTS_S,
    ENDS_S,
    SCENARIOS,
    Scenario,
    run_scenario,
)
from measurements.report import Target, judge_figures, print_figures
from tests.common.fleet import Fleet, RequestPlan

JUDGED = CONTROLS[-1]
TARGETS = [
    Target("goodput_ratio", lowest=0.95),
    Target("recovery_s", highest=3.0),
    Target("worst_organisation_ratio", lowest=0.95),
    Target("top_importance_ratio", lowest=0.99),
    Target("attempts_max", highest=float(ATTEMPTS_MAX)),
]


def measure_scenario(
    scenario: Scenario, control: Control, seed: int
) -> dict[str, float]:
    """Run a scenario on a fresh fleet and return and print its figures."""
    with TemporaryDirectory(prefix="corianderhold-") as name:
        fleet = Fleet(PLANS, Path(name))
        try:
            fleet.start(build_records(control, scenario.rate))
            warm_up = RequestPlan(NORMAL_PATH, BROADCASTER_KEY)
            fleet.wait_until_served(ENTRIES, warm_up)
            calls = run_scenario(fleet, scenario, seed)
            daemons = [member.daemon for member in fleet.members.values()]
            logs = [daemon.read_log() for daemon in daemons if daemon is not None]
        finally:
            fleet.stop()
    figures = compute_figures(calls, scenario)
    attempts = count_attempts(logs)
    figures["attempts_per_request"] = attempts.total() / max(1, len(attempts))
    figures["attempts_max"] = float(max(attempts.values(), default=0))
    outcomes = Counter(
        each.attempts[-1].reason or each.attempts[-1].verdict for each in calls
    )
    ends = ",".join(f"{end}:{count}" for end, count in outcomes.most_common())
    shown: dict[str, float | str] = {"control": control.name, "calls": len(calls)}
    print_figures(scenario.name, seed, {**shown, **figures, "ends": ends})
    return figures


def main(seed: int) -> int:
    """Run the measurement and return 1 if a stated target is missed."""
    print_figures(
        "scale",
        seed,
        {
            "daemons": len(PLANS),
            "failure_domains": 2,
            "deep_capacity_per_s": DEEP_CAPACITY,
            "deep_slots": DEEP_SLOTS,
            "deep_configured_limit": DEEP_LIMIT,
            "base_rate_per_s": BASE_RATE,
            "cause_s": CAUSE_ENDS_S - CAUSE_STARTS_S,
            "scenario_s": ENDS_S,
        },
    )
    met = True
    for scenario in SCENARIOS:
        for control in CONTROLS:
            figures = measure_scenario(scenario, control, seed)
            if control == JUDGED:
                met = judge_figures(figures, TARGETS) and met
    return 0 if met else 1
