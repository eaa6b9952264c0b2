"""
Measure how fast configuration changes take effect, and the cost of that.

Part one runs 6, 24 and 100 daemons in this process, with real threads and clocks, the
emulated log service over HTTP, and in-memory control requests delayed as between
failure domains. Part two simulates the same code on a fake clock, also for 1,700
daemons. Part three withdraws keys from 6 daemons in separate processes. Part four
starts a daemon from a log with one day of changes.
"""

import math
import sys
from collections.abc import Callable

from loguru import logger

from corianderhold.coordination.configuration.const import (
    POLL_INTERVAL_S,
    POLLERS_PER_DOMAIN,
)
from measurements.report import Target, judge_figures, print_figures
from measurements.spread.cold_start import DAY_CHANGES, measure_cold_start
from measurements.spread.processes import measure_processes
from measurements.spread.simulation import measure_simulated
from measurements.spread.threads import measure_threaded

SIZES = ((6, 6), (24, 6), (100, 15))
FULL_SIZE = (1700, 15)

TARGETS = [
    Target("in_force_all_1700_s", highest=8.0),
    Target("withdrawal_all_1700_s", highest=3.0),
    Target("withdrawal_all_processes_s", highest=3.0),
    Target("withdrawal_lost_publisher_1700_s", highest=3.0),
    Target("control_bytes_per_s", highest=700.0),
    Target("control_core_percent", highest=3.5),
    Target(
        "store_reads_per_s_1700",
        highest=1.25 * FULL_SIZE[1] * POLLERS_PER_DOMAIN / POLL_INTERVAL_S,
    ),
]


def fit_slope(points: list[tuple[int, float]]) -> tuple[float, float]:
    """Return intercept and slope of a linear fit of times over log2 of the size."""
    xs = [math.log2(size) for size, _ in points]
    ys = [value for _, value in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    )
    return mean_y - slope * mean_x, slope


def measure_sizes(
    name: str, seed: int, measure: Callable[[int, int, int], dict[str, float]]
) -> list[dict[str, float]]:
    """Print the figures of all sizes and their slope; return the figures."""
    results = []
    for daemons, domains in SIZES:
        figures = measure(daemons, domains, seed)
        print_figures(name, seed, {"daemons": daemons, "domains": domains, **figures})
        results.append(figures)
    for figure in ("published_all_s", "lost_publisher_all_s"):
        points = [
            (size, each[figure]) for (size, _), each in zip(SIZES, results, strict=True)
        ]
        start, slope = fit_slope(points)
        at_full_size = start + slope * math.log2(FULL_SIZE[0])
        slopes = {"figure": figure, "s_per_doubling": slope, "at_1700_s": at_full_size}
        print_figures(f"{name}_slope", seed, slopes)
    return results


def main(seed: int) -> int:
    """Run all parts and check the figures; return the exit code."""
    logger.remove()
    threaded = measure_sizes("threads", seed, measure_threaded)
    measure_sizes("simulated", seed, measure_simulated)
    full = measure_simulated(*FULL_SIZE, seed)
    print_figures("simulated", seed, {"daemons": FULL_SIZE[0], "domains": 15, **full})
    processes = measure_processes(*SIZES[0])
    print_figures("processes", seed, {"daemons": SIZES[0][0], **processes})
    print_figures("cold_start", seed, dict(measure_cold_start(seed)))
    worst = max(full["published_all_s"], full["lost_publisher_all_s"])
    figures = {
        "in_force_all_1700_s": worst,
        "withdrawal_all_1700_s": full["published_all_s"],
        "withdrawal_all_processes_s": processes["withdrawal_all_s"],
        "withdrawal_lost_publisher_1700_s": full["lost_publisher_all_s"],
        "control_bytes_per_s": full["bytes_per_s"]
        + full["bytes_per_change"] * DAY_CHANGES / 86_400.0,
        "control_core_percent": max(each["core_percent"] for each in threaded),
        "store_reads_per_s_1700": full["store_reads_per_s"],
    }
    return 0 if judge_figures(figures, TARGETS) else 1


if __name__ == "__main__":
    sys.exit(main(1))
