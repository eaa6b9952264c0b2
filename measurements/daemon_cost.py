"""Measure idle daemons: processor time, memory and requests to the log service."""

import os
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from emulator.sample import (
    BROADCASTER_KEY,
    CATALOGUE,
    DOMAIN_A,
    DOMAIN_B,
    build_records,
)
from measurements.report import Target, judge_figures, print_figures
from tests.common.fleet import DaemonPlan, Fleet, RequestPlan
from tests.common.processes import ManagedProcess
from tests.common.web import send_request

SIZES = (4, 8, 16)
SETTLE_S = 15.0
WINDOW_S = 20.0
CORE_SHARE_MAX = 0.035
MEMORY_MB_MAX = 64.0
KILOBYTES = 1024


@dataclass(frozen=True)
class Cost:
    """Cost of a fleet: per daemon, except the log requests of the whole fleet."""

    core_share: float
    memory_mb: float
    log_requests_per_s: float


def read_processor_s(process: ManagedProcess) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(process: ManagedProcess) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KILOBYTES
    raise ValueError(f"process {process.pid} has no VmRSS: it has exited")


def count_log_requests(fleet: Fleet) -> int:
    """Return the number of requests that the log service has served."""
    counts = send_request("GET", f"http://{fleet.store_address}/v1/counts").read_json()
    return sum(value for value in counts.values() if isinstance(value, int))


def measure_size(size: int) -> Cost:
    """Run an idle fleet of `size` daemons and return its cost."""
    plans = [
        DaemonPlan(f"d{number}", DOMAIN_A if number % 2 else DOMAIN_B, CATALOGUE)
        for number in range(size)
    ]
    with TemporaryDirectory() as directory:
        fleet = Fleet(plans, Path(directory), entry_slots="0")
        try:
            fleet.start(build_records())
            probe = RequestPlan("/catalogue/search", BROADCASTER_KEY)
            fleet.wait_until_served(list(fleet.members), probe)
            time.sleep(SETTLE_S)
            return observe(fleet)
        finally:
            fleet.stop()


def observe(fleet: Fleet) -> Cost:
    """Measure a running fleet for WINDOW_S."""
    daemons = [member.daemon for member in fleet.members.values() if member.daemon]
    before = [read_processor_s(daemon) for daemon in daemons]
    requests_before = count_log_requests(fleet)
    started_at = time.monotonic()
    time.sleep(WINDOW_S)
    requests = count_log_requests(fleet) - requests_before
    elapsed_s = time.monotonic() - started_at
    after = [read_processor_s(daemon) for daemon in daemons]
    used_s = sum(after) - sum(before)
    return Cost(
        used_s / elapsed_s / len(daemons),
        max(read_memory_mb(daemon) for daemon in daemons),
        requests / elapsed_s,
    )


def main(seed: int) -> int:
    """Measure each size; return 1 if an idle daemon exceeds the stated bounds."""
    met = True
    for size in SIZES:
        cost = measure_size(size)
        figures = {
            "core_share": cost.core_share,
            "memory_mb": cost.memory_mb,
            "log_requests_per_s": cost.log_requests_per_s,
        }
        print_figures(f"daemon_cost_{size}", seed, dict(figures))
        met &= judge_figures(
            figures,
            [
                Target("core_share", highest=CORE_SHARE_MAX),
                Target("memory_mb", highest=MEMORY_MB_MAX),
            ],
        )
    return 0 if met else 1
