"""
Measure the cost of membership per daemon, and how fast updates propagate.

Runs fleets of daemons on loopback, one process each, that run only membership over
real UDP and peer links. Prints each fleet's figures and their slope per member. The
extrapolation to the design size starts from the largest of these fleets and adds the
difference between state machines on a fake network at that size and at the design
size; it is checked against the targets for all control traffic.
"""

import time
import tracemalloc
from collections.abc import Mapping
from statistics import linear_regression, mean

from loguru import logger

from corianderhold.clock import SystemClock
from corianderhold.protocol.membership.codec import decode_member, encode_member
from corianderhold.state.membership.table import MemberTable
from measurements.membership.fleet import Fleet, open_fleet
from measurements.membership_scale import measure_rest
from measurements.report import Target, judge_figures, print_figures
from tests.common.membership import FakeNetwork, build_member

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


def measure_steady_cost(fleet: Fleet) -> dict[str, float]:
    """Return the mean cost of a daemon in steady state."""
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
    """Return the seconds until all daemons know of a change, for each kind."""
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


def print_slopes(figures: Mapping[int, Mapping[str, float]], seed: int) -> None:
    """Print the slope per member over the fleet sizes."""
    slopes: dict[str, float | str] = {}
    for target in TARGETS:
        values = [figures[size][target.figure] for size in SIZES]
        slopes[f"{target.figure}_per_member"] = linear_regression(SIZES, values).slope
    print_figures("slopes", seed, slopes)


def extrapolate(largest: Mapping[str, float], seed: int) -> dict[str, float]:
    """Print and return the extrapolated figures at DESIGN_MEMBERS."""
    at_design = measure_state_machines(DESIGN_MEMBERS, seed)
    at_largest = measure_state_machines(SIZES[-1], seed)
    table_bytes = measure_table(DESIGN_MEMBERS) - measure_table(SIZES[-1])
    bytes_per_s = at_design["steady_bytes_per_s"] - at_largest["steady_bytes_per_s"]
    expected = {
        "bytes_per_s": largest["bytes_per_s"] + bytes_per_s,
        "core_share": largest["core_share"]
        + at_design["core_share"]
        - at_largest["core_share"],
        "memory_mb": largest["memory_mb"] + table_bytes / MEBIBYTE,
    }
    print_figures(f"extrapolated_{DESIGN_MEMBERS}", seed, dict(expected))
    return expected


def measure_table(size: int) -> int:
    """Print the bytes per member of a table of `size` members; return the total."""
    tracemalloc.start()
    table = MemberTable()
    for number in range(size):
        received = encode_member(build_member(number, service=f"service-{number}"))
        table.merge(decode_member(received), 0.0)
    table.read_view()
    table_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print_figures(f"table_{size}", 0, {"bytes_per_member": table_bytes / size})
    return table_bytes


def measure_state_machines(size: int, seed: int) -> dict[str, float]:
    """Print and return the steady-state cost of one of `size` state machines."""
    _, figures = measure_rest(FakeNetwork(seed), size)
    print_figures(f"state_machines_{size}", seed, dict(figures))
    return figures


def main(seed: int) -> int:
    """Measure all sizes; return 1 if a target is missed."""
    logger.disable("corianderhold")
    figures = {}
    met = True
    for size in SIZES:
        with open_fleet(size) as fleet:
            fleet.wait_until_joined()
            time.sleep(SETTLE_S)
            figures[size] = measure_steady_cost(fleet)
            print_figures(f"spending_{size}", seed, dict(figures[size]))
            spread = measure_spread(fleet)
            print_figures(f"spread_{size}", seed, dict(spread))
            met = judge_figures(spread, SPREAD_TARGETS) and met
    print_slopes(figures, seed)
    expected = extrapolate(figures[SIZES[-1]], seed)
    return 0 if judge_figures(expected, TARGETS) and met else 1
