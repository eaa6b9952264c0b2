"""Run daemons with real threads and clocks in one process."""

import math
import threading
import time
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.coordination.configuration.publisher import Publisher, PublishOutcome
from corianderhold.ids import FailureDomainId
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import ChangeRecord
from corianderhold.state.membership.model import Address, Member
from corianderhold.transport.store.client import HttpLog
from emulator.store import Store
from emulator.web import WebServer
from measurements.spread.changes import (
    LIMIT_S,
    RETENTION_S,
    SETTLE_S,
    WARM_UP_S,
    Spread,
    append,
    make_record,
    make_withdrawal,
    summarize_times,
)
from tests.common.changes import BASE
from tests.common.followers import (
    FAR_DELAY_S,
    FRAME_BYTES,
    NEAR_DELAY_S,
    StaticMembers,
    build_member,
)

CHANGES = 8


@dataclass
class Peer:
    """One daemon of the threaded fleet."""

    member: Member
    holder: ConfigurationHolder
    follower: ConfigurationFollower
    times: dict[int, float]


class DelayedNetwork:
    """Deliver control requests in memory with simulated network delays."""

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
        """Deliver a request and return its reply."""
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
        """Stop all daemons concurrently."""
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
            lambda each: record_versions(times, each.version, time.monotonic())
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


def record_versions(times: dict[int, float], version: int, now: float) -> None:
    """Record when a version came into force, also for skipped versions before it."""
    for each in range(max(times, default=0) + 1, version + 1):
        times[each] = now


def measure_threaded(daemons: int, domains: int, seed: int) -> dict[str, float]:
    """Return the figures of one fleet with real threads."""
    store = Store()
    server = WebServer("store", "127.0.0.1", 0, 256)
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


def measure_changes(
    fleet: ThreadedFleet, log: AppendOnlyLog, store: Store
) -> dict[str, float]:
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
    """Publish through a daemon; return the time just before the append."""
    started = time.monotonic()
    published = publisher.publish(change, LIMIT_S)
    if published.outcome is not PublishOutcome.ACCEPTED:
        raise AssertionError(f"change not accepted: {published}")
    return started


def measure_idle(fleet: ThreadedFleet, store: Store) -> dict[str, float]:
    """Return the cost of the fleet in steady state."""
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
    """Return the number of reads that the log service has handled."""
    return store._reads  # noqa: SLF001
