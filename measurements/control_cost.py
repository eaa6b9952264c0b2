"""
Measure what membership costs a daemon, and how fast its news spreads.

Runs fleets of daemons on loopback, one process each, that do nothing but membership
over real UDP and peer links. Prints each fleet's figures, the slope for each member
and the extrapolation to the size to design for, judged against its targets.
"""

import time
from collections.abc import Mapping
from statistics import linear_regression, mean

from corianderhold.clock import SystemClock
from measurements.report import Target, judge_figures, print_figures
from tests.common.membership_fleet import Fleet, open_fleet

SIZES = (6, 24, 100)
DESIGN_MEMBERS = 1700
SETTLE_S = 20.0
WINDOW_S = 60.0
MEBIBYTE = 1024 * 1024

TARGETS = [
    Target("bytes_per_s", highest=2048.0),
    Target("core_share", highest=0.035),
    Target("memory_mb", highest=64.0),
]
SPREAD_TARGETS = [
    Target("drain_s", highest=3.0),
    Target("leave_s", highest=3.0),
]


def measure_spending(fleet: Fleet) -> dict[str, float]:
    """Return the mean cost of a daemon while nothing changes."""
    before, started_s = fleet.read_reports(), time.monotonic()
    time.sleep(WINDOW_S)
    after, seconds = fleet.read_reports(), time.monotonic() - started_s
    pairs = list(zip(before, after, strict=True))
    gossip = mean(b.gossip_bytes - a.gossip_bytes for a, b in pairs) / seconds
    sync = mean(b.sync_bytes - a.sync_bytes for a, b in pairs) / seconds
    return {
        "bytes_per_s": gossip + sync,
        "gossip_bytes_per_s": gossip,
        "messages_per_s": mean(b.datagrams - a.datagrams for a, b in pairs) / seconds,
        "core_share": mean(b.processor_s - a.processor_s for a, b in pairs) / seconds,
        "memory_mb": mean(report.memory_bytes for report in after) / MEBIBYTE,
    }


def measure_spread(fleet: Fleet) -> dict[str, float]:
    """Return the seconds until all daemons know of one change of each kind."""
    clock = SystemClock()
    subject = fleet.start(len(fleet.daemons))
    joined_s = subject.read_answer()
    assert isinstance(joined_s, float)
    fleet.daemons.append(subject)
    name = subject.instance
    join_s = fleet.wait_for_change(joined_s, name, "alive", "absent")
    fleet.wait_until_joined()
    subject.ask("announce")
    fleet.wait_for_change(0.0, name, "alive", "serving")
    subject.ask("announce")
    at_s = clock.read_monotonic()
    subject.ask("drain")
    drain_s = fleet.wait_for_change(at_s, name, "alive", "draining")
    at_s = clock.read_monotonic()
    subject.ask("leave")
    leave_s = fleet.wait_for_change(at_s, name, "left", "absent")
    subject.kill()
    fleet.daemons.remove(subject)
    victim = fleet.daemons.pop()
    at_s = clock.read_monotonic()
    victim.kill()
    death_s = fleet.wait_for_change(at_s, victim.instance, "dead", "absent")
    return {
        "join_s": join_s,
        "drain_s": drain_s,
        "leave_s": leave_s,
        "death_s": death_s,
    }


def extrapolate(figures: Mapping[int, Mapping[str, float]]) -> dict[str, float]:
    """Print the slopes for each member; return the figures at DESIGN_MEMBERS."""
    slopes, expected = {}, {}
    for target in TARGETS:
        values = [figures[size][target.figure] for size in SIZES]
        slope, intercept = linear_regression(SIZES, values)
        slopes[f"{target.figure}_per_member"] = slope
        expected[target.figure] = intercept + slope * DESIGN_MEMBERS
    print_figures("slopes", 0, dict(slopes))
    print_figures(f"extrapolated_{DESIGN_MEMBERS}", 0, dict(expected))
    return expected


def main(seed: int) -> int:
    """Measure all sizes; return 1 where a target is missed."""
    figures = {}
    met = True
    for size in SIZES:
        with open_fleet(size) as fleet:
            fleet.wait_until_joined()
            time.sleep(SETTLE_S)
            figures[size] = measure_spending(fleet)
            print_figures(f"spending_{size}", seed, dict(figures[size]))
            spread = measure_spread(fleet)
            print_figures(f"spread_{size}", seed, dict(spread))
            met = judge_figures(spread, SPREAD_TARGETS) and met
    return 0 if judge_figures(extrapolate(figures), TARGETS) and met else 1
