"""
Measure how fast changes of the configuration are in force, and what that costs.

Part one runs 6, 24 and 100 daemons in this process, with real threads and clocks, the
stand-in of the log over HTTP, and control requests in memory with the delays of the
ways between failure domains. Part two simulates the same code on a fake clock, also
for 1,700 daemons. Part three starts a daemon from a log of a day's changes.
"""

import math
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from loguru import logger
from result import Err, Ok, Result

from corianderhold.clock import Clock, SystemClock
from corianderhold.coordination.configuration.const import (
    POLL_INTERVAL_S,
    POLLERS_PER_DOMAIN,
)
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.coordination.configuration.publisher import (
    Published,
    Publisher,
    PublishOutcome,
)
from corianderhold.ids import (
    ChangeId,
    FailureDomainId,
    InstanceId,
    KeyId,
    OrganisationId,
    Version,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.state.configuration.codec import encode_change, encode_snapshot
from corianderhold.state.configuration.fold import build_snapshot
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import ApiKey
from corianderhold.state.configuration.records import ChangeRecord, Delta
from corianderhold.state.membership.model import Address, Member
from corianderhold.transport.store.client import HttpLog
from corianderhold.transport.store.model import Log, StreamName
from emulator.store import Store
from emulator.web import WebServer
from measurements.report import Target, judge_figures, print_figures
from tests.common.changes import BASE, RADIO_KEY
from tests.common.followers import (
    FAR_DELAY_S,
    FRAME_BYTES,
    NEAR_DELAY_S,
    Fleet,
    StaticMembers,
    build_member,
)
from tests.common.log import FakeLog

SIZES = ((6, 6), (24, 6), (100, 15))
FULL_SIZE = (1700, 15)
CHANGES = 8
RETENTION_S = 86_400.0
WARM_UP_S = 5.0
SETTLE_S = 2.0
LIMIT_S = 30.0
LOG_TIMEOUT_S = 2.0
DAY_CHANGES = 5300
KEYS = 2000

TARGETS = [
    Target("in_force_all_1700_s", highest=8.0),
    Target("withdrawal_all_1700_s", highest=3.0),
    Target("withdrawal_lost_publisher_1700_s", highest=3.0),
    Target("control_bytes_per_s", highest=700.0),
    Target("control_core_percent", highest=3.5),
    Target(
        "store_reads_per_s_1700",
        highest=1.25 * FULL_SIZE[1] * POLLERS_PER_DOMAIN / POLL_INTERVAL_S,
    ),
]


@dataclass(frozen=True)
class Spread:
    """Seconds from acceptance until 99 in 100 and all daemons had a change."""

    most_s: float
    all_s: float


@dataclass
class Peer:
    """One daemon of part one."""

    member: Member
    holder: ConfigurationHolder
    follower: ConfigurationFollower
    times: dict[int, float]


class DelayedNetwork:
    """Deliver control requests in memory after the delay of the way."""

    def __init__(self) -> None:
        self.peers: dict[Address, Peer] = {}
        self.bytes = 0

    def connect(self, member: Member) -> "DelayedClient":
        """Return the client of one daemon."""
        return DelayedClient(self, member)


class DelayedClient:
    """Implement ControlClient for one daemon."""

    def __init__(self, network: DelayedNetwork, member: Member) -> None:
        self._network = network
        self._member = member

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Deliver a request and its reply."""
        peer = self._network.peers.get(address)
        if peer is None:
            return Err(ControlFailure.UNREACHABLE)
        near = peer.member.domain == self._member.domain
        delay_s = NEAR_DELAY_S if near else FAR_DELAY_S
        time.sleep(delay_s)
        sender = ControlSender(self._member.instance)
        reply = peer.follower.handle_control(sender, body)
        time.sleep(delay_s)
        self._network.bytes += len(body) + len(reply) + 2 * FRAME_BYTES
        return Ok(reply)


class ThreadedFleet:
    """Run daemons with real threads and clocks in this process."""

    def __init__(self, daemons: int, domains: int, log_url: str, seed: int) -> None:
        self.network = DelayedNetwork()
        self._members = StaticMembers()
        self._clock = SystemClock()
        self._log_url = log_url
        self._seed = seed
        self.peers = [
            self._build(f"d{number % domains}", f"10.0.{number // 250}.{number % 250}")
            for number in range(daemons)
        ]

    def start(self) -> None:
        """Start all daemons."""
        for peer in self.peers:
            peer.follower.start()

    def stop(self) -> None:
        """Stop all daemons, side by side."""
        threads = [
            threading.Thread(target=peer.follower.stop, daemon=True)
            for peer in self.peers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def make_publisher(self) -> Publisher:
        """Return the publisher of the first daemon."""
        log = HttpLog(self._log_url, self._clock)
        return Publisher(self.peers[0].follower, log, self._clock)

    def await_version(self, version: int, accepted_at: float) -> Spread:
        """Wait until all daemons have a version in force."""
        limit = time.monotonic() + LIMIT_S
        while any(version not in peer.times for peer in self.peers):
            if time.monotonic() > limit:
                return Spread(math.inf, math.inf)
            time.sleep(0.005)
        times = sorted(peer.times[version] - accepted_at for peer in self.peers)
        return summarize_times(times)

    def _build(self, domain: str, host: str) -> Peer:
        member = build_member(FailureDomainId(domain), host)
        holder = ConfigurationHolder()
        times: dict[int, float] = {}
        holder.add_listener(
            lambda each: note_versions(times, each.version, time.monotonic())
        )
        follower = ConfigurationFollower(
            member.instance,
            member.domain,
            RETENTION_S,
            HttpLog(self._log_url, self._clock),
            self.network.connect(member),
            self._members,
            holder,
            self._clock,
            Random(f"{self._seed}/{host}"),
            Metrics(),
        )
        peer = Peer(member, holder, follower, times)
        self._members.members[member.instance] = member
        self.network.peers[member.peer_address] = peer
        return peer


def note_versions(times: dict[int, float], version: int, now: float) -> None:
    """Note when a version came in force; skipped ones came with it."""
    for each in range(max(times, default=0) + 1, version + 1):
        times[each] = now


def summarize_times(times: list[float]) -> Spread:
    """Return the 99th percentile and the highest of sorted times."""
    most = max(0, math.ceil(len(times) * 0.99) - 1)
    return Spread(times[most], times[-1])


def make_withdrawal(base: int) -> ChangeRecord:
    """Return a change of one key, made from a version."""
    key = replace(RADIO_KEY, key_id=KeyId(f"key-{base}"), withdrawn=base % 2 == 0)
    return make_record(base, Delta(keys=(key,)))


def make_record(base: int, delta: Delta) -> ChangeRecord:
    """Return a change with the id of its base."""
    change_id = ChangeId(f"change-{base}")
    return ChangeRecord(change_id, Version(base), "measurement", 1.7e9, "", delta)


def append(log: Log, change: ChangeRecord) -> None:
    """Append a change behind the daemons' backs, as a publisher that then dies."""
    text = encode_change(change)
    log.append(StreamName.CONFIGURATION, text, LOG_TIMEOUT_S).unwrap()


def measure_threaded(daemons: int, domains: int, seed: int) -> dict[str, float]:
    """Return the figures of one fleet with real threads."""
    store = Store()
    server = WebServer("store", "127.0.0.1", 0, 64)
    server.bind(store)
    server.start()
    log_url = f"http://{server.address}"
    log = HttpLog(log_url, SystemClock())
    append(log, make_record(0, BASE))
    fleet = ThreadedFleet(daemons, domains, log_url, seed)
    fleet.start()
    try:
        fleet.await_version(1, time.monotonic())
        time.sleep(WARM_UP_S)
        return measure_changes(fleet, log, store)
    finally:
        fleet.stop()
        server.stop()


def measure_changes(fleet: ThreadedFleet, log: Log, store: Store) -> dict[str, float]:
    """Return times in force and costs of a started fleet."""
    costs = measure_idle(fleet, store)
    publisher = fleet.make_publisher()
    published, polled = [], []
    for base in range(1, CHANGES + 1):
        change = make_withdrawal(base)
        if base % 2:
            append(log, change)
            polled.append(fleet.await_version(base + 1, time.monotonic()))
        else:
            accepted_at = publish_change(publisher, change)
            published.append(fleet.await_version(base + 1, accepted_at))
        time.sleep(SETTLE_S)
    return {
        "published_99_s": max(each.most_s for each in published),
        "published_all_s": max(each.all_s for each in published),
        "lost_publisher_99_s": max(each.most_s for each in polled),
        "lost_publisher_all_s": max(each.all_s for each in polled),
        **costs,
    }


def publish_change(publisher: Publisher, change: ChangeRecord) -> float:
    """Publish through a daemon; return the time before the append was sent."""
    started = time.monotonic()
    published: Published = publisher.publish(change, LIMIT_S)
    if published.outcome is not PublishOutcome.ACCEPTED:
        raise RuntimeError(f"not accepted: {published}")
    return started


def measure_idle(fleet: ThreadedFleet, store: Store) -> dict[str, float]:
    """Return what the fleet costs while nothing changes."""
    reads, sent = read_count(store), fleet.network.bytes
    cpu, started = time.process_time(), time.monotonic()
    time.sleep(WARM_UP_S)
    wall_s = time.monotonic() - started
    daemons = len(fleet.peers)
    return {
        "store_reads_per_s": (read_count(store) - reads) / wall_s,
        "bytes_per_s": (fleet.network.bytes - sent) / wall_s / daemons,
        "core_percent": 100 * (time.process_time() - cpu) / wall_s / daemons,
    }


def read_count(store: Store) -> int:
    """Return how many reads the log has answered."""
    return store._reads  # noqa: SLF001


def measure_simulated(daemons: int, domains: int, seed: int) -> dict[str, float]:
    """Return the figures of one simulated fleet."""
    log = FakeLog()
    fleet = Fleet(domains, daemons, log, seed, RETENTION_S)
    append(log, make_record(0, BASE))
    fleet.run(2 * WARM_UP_S)
    reads, sent = log.reads, sum_sent(fleet)
    fleet.run(WARM_UP_S)
    reads_per_s = (log.reads - reads) / WARM_UP_S
    bytes_per_s = (sum_sent(fleet) - sent) / WARM_UP_S / daemons
    sent = sum_sent(fleet)
    append(log, make_withdrawal(1))
    polled = run_until_in_force(fleet, 2, daemons)
    fleet.run(SETTLE_S)
    change_bytes = (sum_sent(fleet) - sent) / daemons
    publisher = next(iter(fleet.daemons.values())).follower
    change = make_withdrawal(2)
    Publisher(publisher, log, fleet.clock, fleet.clock.advance).publish(change, 1.0)
    published = run_until_in_force(fleet, 3, daemons)
    return {
        "published_99_s": published.most_s,
        "published_all_s": published.all_s,
        "lost_publisher_99_s": polled.most_s,
        "lost_publisher_all_s": polled.all_s,
        "store_reads_per_s": reads_per_s,
        "bytes_per_s": bytes_per_s,
        "bytes_per_change": change_bytes,
    }


def sum_sent(fleet: Fleet) -> int:
    """Return the bytes that all daemons have sent."""
    return sum(daemon.bytes_sent for daemon in fleet.daemons.values())


def run_until_in_force(fleet: Fleet, version: int, daemons: int) -> Spread:
    """Run until all daemons have a version in force."""
    started = fleet.clock.elapsed
    most: list[float] = []

    def is_done() -> bool:
        count = fleet.in_force(version)
        if not most and count >= 0.99 * daemons:
            most.append(fleet.clock.elapsed - started)
        return count == daemons

    if not fleet.run_until(is_done, LIMIT_S):
        return Spread(math.inf, math.inf)
    return Spread(most[0], fleet.clock.elapsed - started)


def fit_slope(points: list[tuple[int, float]]) -> tuple[float, float]:
    """Return intercept and slope of times over the binary logarithm of the size."""
    xs = [math.log2(size) for size, _ in points]
    ys = [value for _, value in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    )
    return mean_y - slope * mean_x, slope


def measure_cold_start(seed: int) -> dict[str, float]:
    """Return how long a daemon takes to fold a day's changes from the log."""
    keys = tuple(
        ApiKey(KeyId(f"k{number}"), OrganisationId("radio"), "0" * 64)
        for number in range(KEYS)
    )
    log = FakeLog()
    append(log, make_record(0, replace(BASE, keys=keys)))
    for base in range(1, DAY_CHANGES):
        append(log, make_withdrawal(base))
    replay_s, reads, follower = start_from_log(log, seed)
    text = encode_snapshot(build_snapshot(follower.replica.state))
    log.append(StreamName.CONFIGURATION, text, LOG_TIMEOUT_S)
    for base in range(DAY_CHANGES, DAY_CHANGES + 128):
        append(log, make_withdrawal(base))
    snapshot_s, snapshot_reads, _ = start_from_log(log, seed)
    return {
        "changes": DAY_CHANGES,
        "replay_s": replay_s,
        "replay_reads": reads,
        "snapshot_and_tail_s": snapshot_s,
        "snapshot_and_tail_reads": snapshot_reads,
        "snapshot_bytes": len(text),
    }


def start_from_log(
    log: FakeLog, seed: int
) -> tuple[float, float, ConfigurationFollower]:
    """Start a daemon without peers; return seconds, reads and the daemon."""
    clock: Clock = SystemClock()
    member = build_member(FailureDomainId("d0"), "10.9.9.9")
    follower = ConfigurationFollower(
        InstanceId("fresh"),
        member.domain,
        RETENTION_S,
        log,
        DelayedNetwork().connect(member),
        StaticMembers(),
        ConfigurationHolder(),
        clock,
        Random(seed),
        Metrics(),
    )
    reads, started = log.reads, time.monotonic()
    follower.read_log()
    return time.monotonic() - started, log.reads - reads, follower


def measure_sizes(
    name: str, seed: int, measure: Callable[[int, int, int], dict[str, float]]
) -> list[dict[str, float]]:
    """Print the figures of all sizes with the slope; return them."""
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
    """Run all parts and judge the figures; return the exit code."""
    logger.remove()
    threaded = measure_sizes("threads", seed, measure_threaded)
    measure_sizes("simulated", seed, measure_simulated)
    full = measure_simulated(*FULL_SIZE, seed)
    print_figures("simulated", seed, {"daemons": FULL_SIZE[0], "domains": 15, **full})
    print_figures("cold_start", seed, dict(measure_cold_start(seed)))
    worst = max(full["published_all_s"], full["lost_publisher_all_s"])
    figures = {
        "in_force_all_1700_s": worst,
        "withdrawal_all_1700_s": full["published_all_s"],
        "withdrawal_lost_publisher_1700_s": full["lost_publisher_all_s"],
        "control_bytes_per_s": full["bytes_per_s"]
        + full["bytes_per_change"] * DAY_CHANGES / 86_400.0,
        "control_core_percent": max(each["core_percent"] for each in threaded),
        "store_reads_per_s_1700": full["store_reads_per_s"],
    }
    return 0 if judge_figures(figures, TARGETS) else 1


if __name__ == "__main__":
    sys.exit(main(1))
