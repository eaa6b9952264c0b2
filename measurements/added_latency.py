"""
Measure the latency that daemons add to a call.

Each round sends the same load directly to the target, through a daemon that is both
entry and owner, and through an entry to an owner in another failure domain. Added
latency is the difference between percentiles at the same rate. A route sustains a rate
if HOLD_GOOD_RATIO of the calls succeed with a median latency of at most HOLD_P50_MS;
a growing backlog shows as a growing median.
"""

import json
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from emulator.sample import BROADCASTER_KEY, build_records
from measurements.report import Target, judge_figures, print_figures
from tests.common.fleet import DaemonPlan, Fleet, RequestPlan
from tests.common.processes import ManagedProcess, ProcessGroup

ENTRY = "entry"
OWNER = "owner"
PATH = "/catalogue/search?size=500"
BASE_RATE = 50.0
ROUNDS = 4
ROUND_S = 4.0
STEP_S = 4.0
STEP_TRIES = 2
RATE_STEPS = (100, 150, 200, 250, 300, 350, 400, 450, 500, 550, 600, 700, 800)
HOLD_P50_MS = 20.0
HOLD_GOOD_RATIO = 0.999
ADDED_P99_BOUND_MS = 0.35
ECHO_BYTES = 500
ECHO_COUNT = 2000
ECHO_RATE = 200.0
CALLER_WORKERS = 64
MS = 1000.0


@dataclass(frozen=True)
class Route:
    """A route to the target: the callers' address and the daemons on the path."""

    name: str
    address: str
    daemons: tuple[ManagedProcess, ...]


@dataclass(frozen=True)
class Sample:
    """Latencies of one route at one rate, and the daemons' processor time."""

    calls: int
    latencies_ms: tuple[float, ...]
    processor_s: float

    @property
    def holds(self) -> bool:
        """Whether the route sustained the rate."""
        good = len(self.latencies_ms) / max(1, self.calls)
        return good >= HOLD_GOOD_RATIO and self.percentile(50) <= HOLD_P50_MS

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies, or infinity if there are none."""
        if not self.latencies_ms:
            return float("inf")
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]

    def merge(self, other: "Sample") -> "Sample":
        """Return the combination of both samples."""
        return Sample(
            self.calls + other.calls,
            self.latencies_ms + other.latencies_ms,
            self.processor_s + other.processor_s,
        )


EMPTY_SAMPLE = Sample(0, (), 0.0)


class Bench:
    """Send calls over the routes and collect their latencies."""

    def __init__(self, directory: Path, seed: int) -> None:
        self._directory = directory
        self._seed = seed
        self._group = ProcessGroup(directory)
        self._runs = 0

    def stop(self) -> None:
        """Stop the processes of the bench."""
        self._group.stop()

    def send(self, route: Route, rate: float, duration_s: float) -> Sample:
        """Send calls at a rate with Poisson arrivals."""
        self._runs += 1
        ledger = self._directory / f"ledger-{self._runs}"
        arguments = ["emulator", "callers", "--addresses", route.address]
        arguments += ["--keys", BROADCASTER_KEY, "--paths", PATH]
        arguments += ["--rate", str(rate), "--duration-s", str(duration_s)]
        arguments += ["--workers", str(CALLER_WORKERS), "--ledger", str(ledger)]
        arguments += ["--seed", str(self._seed * 1000 + self._runs)]
        before = sum(daemon.read_processor_s() for daemon in route.daemons)
        callers = self._group.start(f"callers-{self._runs}", arguments)
        callers.wait_for_exit(duration_s + 60.0)
        after = sum(daemon.read_processor_s() for daemon in route.daemons)
        return read_sample(ledger, after - before)

    def measure_echo(self) -> list[float]:
        """Return round-trip times in milliseconds of a plain loopback echo."""
        server = self._group.start("echo", ["emulator", "echo"])
        host, _, port = server.wait_for_address().rpartition(":")
        times_ms = []
        with socket.create_connection((host, int(port))) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(ECHO_COUNT):
                time.sleep(1 / ECHO_RATE)
                started_at = time.perf_counter()
                connection.sendall(b"a" * ECHO_BYTES)
                remaining = ECHO_BYTES
                while remaining:
                    remaining -= len(connection.recv(remaining))
                times_ms.append((time.perf_counter() - started_at) * MS)
        server.kill()
        return times_ms


def read_sample(ledger: Path, processor_s: float) -> Sample:
    """Read a ledger into a sample; only responses with status 200 are good."""
    calls = [json.loads(line) for line in ledger.read_text().splitlines()]
    good = [call for call in calls if call["attempts"][-1]["status"] == 200]
    latencies = tuple(call["latency_s"] * MS for call in good)
    return Sample(len(calls), latencies, processor_s)


def measure_rate(
    bench: Bench, routes: Sequence[Route], rate: float, rounds: int
) -> dict[str, Sample]:
    """Measure all routes at one rate, alternating between them."""
    samples = dict.fromkeys((route.name for route in routes), EMPTY_SAMPLE)
    for _ in range(rounds):
        for route in routes:
            sample = bench.send(route, rate, ROUND_S)
            samples[route.name] = samples[route.name].merge(sample)
    return samples


def find_highest_rate(bench: Bench, route: Route) -> float:
    """Return the highest rate of RATE_STEPS that the route sustains, or 0."""
    highest = 0.0
    for rate in RATE_STEPS:
        if not any(bench.send(route, rate, STEP_S).holds for _ in range(STEP_TRIES)):
            break
        highest = rate
    return highest


def report_route(
    seed: int, rate: float, route: Route, direct: Sample, sample: Sample, echo_ms: float
) -> dict[str, float]:
    """Print and return the figures of one route at one rate."""
    passes = sample.calls * len(route.daemons)
    figures = {
        "rate": rate,
        "calls": float(sample.calls),
        "good": float(len(sample.latencies_ms)),
        "p50_added_ms": sample.percentile(50) - direct.percentile(50),
        "p99_added_ms": sample.percentile(99) - direct.percentile(99),
        "direct_p50_ms": direct.percentile(50),
        "direct_p99_ms": direct.percentile(99),
        "echo_ms": echo_ms,
        "passes_per_core_s": passes / max(sample.processor_s, 0.01),
    }
    figures["p50_added_echoes"] = figures["p50_added_ms"] / echo_ms
    print_figures(f"added_latency_{route.name}", seed, {**figures})
    return figures


def measure(fleet: Fleet, bench: Bench, seed: int) -> bool:
    """Measure all routes and return whether the stated targets are met."""
    owner, entry = fleet.members[OWNER], fleet.members[ENTRY]
    assert owner.daemon is not None
    assert entry.daemon is not None
    direct = Route("direct", owner.target_address, ())
    routes = (
        Route("entry_is_owner", owner.get_address("caller"), (owner.daemon,)),
        Route(
            "entry_to_owner",
            entry.get_address("caller"),
            (entry.daemon, owner.daemon),
        ),
    )
    echo_ms = sorted(bench.measure_echo())[ECHO_COUNT // 2]
    met = True
    samples = measure_rate(bench, (direct, *routes), BASE_RATE, ROUNDS)
    bound = Target("p99_added_ms", highest=ADDED_P99_BOUND_MS)
    for route in routes:
        figures = report_route(
            seed, BASE_RATE, route, samples["direct"], samples[route.name], echo_ms
        )
        met = judge_figures(figures, [bound]) and met
    for route in routes:
        rate = find_highest_rate(bench, route)
        if not rate:
            print_figures(f"added_latency_{route.name}", seed, {"highest_rate": 0.0})
            continue
        samples = measure_rate(bench, (direct, route), rate, 1)
        report_route(seed, rate, route, samples["direct"], samples[route.name], echo_ms)
    return met


def main(seed: int) -> int:
    """Run the measurement and return 1 if the stated target is missed."""
    with TemporaryDirectory(prefix="corianderhold-") as name:
        directory = Path(name)
        plans = (
            DaemonPlan(ENTRY, "ch-west-a"),
            DaemonPlan(
                OWNER, "ch-west-b", service="catalogue", slots=32, service_ms=0.0
            ),
        )
        fleet = Fleet(plans, directory)
        bench = Bench(directory, seed)
        try:
            fleet.start(build_records())
            fleet.wait_until_served([ENTRY, OWNER], RequestPlan(PATH, BROADCASTER_KEY))
            return 0 if measure(fleet, bench, seed) else 1
        finally:
            bench.stop()
            fleet.stop()
