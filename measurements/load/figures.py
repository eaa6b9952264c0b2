"""Compute the figures of a scenario from its calls."""

import re
from collections import Counter
from collections.abc import Sequence

from emulator.ledger import Call
from measurements.load.deployment import CRITICAL_PATH
from measurements.load.scenario import CAUSE_ENDS_S, CAUSE_STARTS_S, ENDS_S, Scenario

BIN_S = 0.5
RECOVERED_RATIO = 0.95
ROUTED_LINE = re.compile(r"event=call_routed .*?root=(\S+) .*? owner=(\S+)")
NO_OWNER = frozenset({"None", '""', "-", "none"})


def is_good(call: Call) -> bool:
    """Return whether the complete response arrived."""
    return call.attempts[-1].is_good


def select_due(calls: Sequence[Call], start_s: float, end_s: float) -> list[Call]:
    """Return the calls that were due within a time range."""
    return [call for call in calls if start_s <= call.due_s < end_s]


def count_served(calls: Sequence[Call]) -> Counter[str]:
    """Return the number of complete responses during the cause, by key."""
    return Counter(
        call.key
        for call in calls
        if is_good(call)
        and CAUSE_STARTS_S <= call.due_s + call.latency_s < CAUSE_ENDS_S
    )


def divide(part: float, whole: float) -> float:
    """Return a ratio, or 1 if there was nothing to serve."""
    return part / whole if whole else 1.0


def compute_goodput_ratio(calls: Sequence[Call], scenario: Scenario) -> float:
    """Return the goodput during the cause relative to what could be served."""
    duration_s = CAUSE_ENDS_S - CAUSE_STARTS_S
    due = select_due(calls, CAUSE_STARTS_S, CAUSE_ENDS_S)
    good = sum(count_served(calls).values())
    admissible = sum(count_within_rate(due, scenario, duration_s).values())
    return divide(good, min(admissible, scenario.capacity * duration_s))


def count_within_rate(
    calls: Sequence[Call], scenario: Scenario, duration_s: float
) -> dict[str, float]:
    """Return the calls that each organisation sent, capped at its rate."""
    sent = Counter(call.key for call in calls)
    return {key: min(n, scenario.rate * duration_s) for key, n in sent.items()}


def select_within_rate(calls: Sequence[Call], scenario: Scenario) -> list[Call]:
    """Return the calls of organisations that kept to their rate during the cause."""
    due = select_due(calls, CAUSE_STARTS_S, CAUSE_ENDS_S)
    sent = Counter(call.key for call in due)
    allowed = scenario.rate * (CAUSE_ENDS_S - CAUSE_STARTS_S)
    return [call for call in calls if sent[call.key] <= allowed]


def compute_recovery_s(calls: Sequence[Call], scenario: Scenario) -> float:
    """
    Return the seconds from the end of the cause until calls are served again.

    Organisations that exceeded their rate have no tokens left then and don't count.
    """
    calls = select_within_rate(calls, scenario)
    bins = int((ENDS_S - CAUSE_ENDS_S) / BIN_S)
    recovered_s = 0.0
    for index in range(bins):
        start_s = CAUSE_ENDS_S + index * BIN_S
        due = select_due(calls, start_s, start_s + BIN_S)
        if divide(sum(map(is_good, due)), len(due)) < RECOVERED_RATIO:
            recovered_s = (index + 1) * BIN_S
    return float("inf") if recovered_s >= bins * BIN_S else recovered_s


def share_fairly(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair shares of a capacity."""
    shares: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (key, demand) in enumerate(ordered):
        shares[key] = min(demand, remaining / (len(ordered) - index))
        remaining -= shares[key]
    return shares


def compute_worst_organisation_ratio(
    calls: Sequence[Call], scenario: Scenario
) -> float:
    """Return the lowest ratio of served calls to an organisation's fair share."""
    duration_s = CAUSE_ENDS_S - CAUSE_STARTS_S
    due = select_due(calls, CAUSE_STARTS_S, CAUSE_ENDS_S)
    demands = count_within_rate(due, scenario, duration_s)
    shares = share_fairly(demands, scenario.capacity * duration_s)
    good = count_served(calls)
    return min(divide(good[key], share) for key, share in shares.items())


def compute_refused_within_rate_ratio(
    calls: Sequence[Call], scenario: Scenario
) -> float:
    """Return the failed fraction of calls by organisations within their rate."""
    within = select_within_rate(calls, scenario)
    due = select_due(within, CAUSE_STARTS_S, CAUSE_ENDS_S)
    return 1.0 - divide(sum(map(is_good, due)), len(due))


def compute_top_importance_ratio(calls: Sequence[Call], scenario: Scenario) -> float:
    """Return the served fraction of critical calls by organisations in their rate."""
    within = select_within_rate(calls, scenario)
    due = select_due(within, CAUSE_STARTS_S, CAUSE_ENDS_S)
    critical = [call for call in due if call.path == CRITICAL_PATH]
    return divide(sum(map(is_good, critical)), len(critical))


def count_attempts(logs: Sequence[str]) -> Counter[str]:
    """Return the attempts per root request that the daemons logged."""
    attempts: Counter[str] = Counter()
    for log in logs:
        for root, owner in ROUTED_LINE.findall(log):
            if owner not in NO_OWNER:
                attempts[root] += 1
    return attempts


def compute_figures(calls: Sequence[Call], scenario: Scenario) -> dict[str, float]:
    """Return all figures that can be computed from calls alone."""
    return {
        "goodput_ratio": compute_goodput_ratio(calls, scenario),
        "recovery_s": compute_recovery_s(calls, scenario),
        "worst_organisation_ratio": compute_worst_organisation_ratio(calls, scenario),
        "refused_within_rate_ratio": compute_refused_within_rate_ratio(calls, scenario),
        "top_importance_ratio": compute_top_importance_ratio(calls, scenario),
    }
