"""Run daemons with only membership on loopback, one process each."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from result import Ok, Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.membership.service import (
    MembershipService,
    MembershipSettings,
)
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    Offset,
    RegionId,
    ServiceName,
)
from corianderhold.log import configure_logging
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.protocol.peer.messages import CallHead, LoadReport
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    ReadFailure,
    StreamName,
)
from corianderhold.state.membership.model import Address, Member
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.peer.control import LinkControlClient
from corianderhold.transport.peer.handshake import Identity
from corianderhold.transport.peer.link import Link
from corianderhold.transport.peer.pool import LinkPool
from corianderhold.transport.peer.server import PeerServer
from tests.common.ports import PortReservation

DOMAINS = 15
REGIONS = 4
WAIT_LIMIT_S = 120.0
POLL_INTERVAL_S = 0.5
HOST = "127.0.0.1"
SERVICE = ServiceName("rights")
TARGET_ADDRESS = Address(HOST, 8000)
SECRET = b"secret of the measured fleet"


class EmptyLog:
    """Accept and discard every append, so that only gossip connects the fleet."""

    read_only: frozenset[StreamName] = frozenset()

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Accept and discard the record."""
        return Ok(Offset(0))

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Return an empty page."""
        return Ok(LogPage(Offset(0), Offset(0), ()))


class NoCalls:
    """Handle peer links without calls."""

    def serve_call(self, link: Link, head: CallHead) -> None:
        """Ignore a call; none is sent."""

    def cancel_call(self, call_id: str) -> None:
        """Ignore a cancellation; none is sent."""

    def report_load(self) -> LoadReport:
        """Return no load."""
        return LoadReport(0, 0, 0, 0, False)


@dataclass(frozen=True)
class DaemonReport:
    """Resources used by a daemon since its start."""

    live: int
    gossip_bytes: int
    sync_bytes: int
    datagrams: int
    processor_s: float
    memory_bytes: int


def run_daemon(number: int, peer_port: int, gossip_port: int, seed_port: int) -> None:
    """Run one daemon that executes commands from standard input."""
    configure_logging("critical", f"daemon-{number}")
    clock = SystemClock()
    instance = InstanceId(f"daemon-{number:04}")
    incarnation = Incarnation(int(clock.read_wall() * 1000))
    identity = Identity(instance, incarnation, SECRET)
    settings = MembershipSettings(
        instance,
        incarnation,
        FailureDomainId(f"domain-{number % DOMAINS}"),
        RegionId(f"region-{number % REGIONS}"),
        Address(HOST, peer_port),
        Address(HOST, gossip_port),
        (Address(HOST, seed_port),),
        SECRET,
    )
    metrics = Metrics()
    pool = LinkPool(identity, clock)
    service = MembershipService(
        settings, clock, Random(number), EmptyLog(), LinkControlClient(pool), metrics
    )
    handlers = {ControlTopic.MEMBERSHIP: service}
    server = PeerServer(settings.peer_address, identity, clock, NoCalls(), handlers)
    changes: list[tuple[float, str, str, str]] = []
    service.add_listener(lambda member: changes.append(describe_change(member)))
    for component in (pool, server, service):
        component.start()
    print(json.dumps(clock.read_monotonic()), flush=True)
    commands: dict[str, Callable[[], object]] = {
        "report": lambda: asdict(build_report(service, metrics)),
        "changes": lambda: changes,
        "announce": lambda: service.announce_target(
            TargetAnnouncement(SERVICE, TARGET_ADDRESS)
        ),
        "drain": service.drain_target,
        "leave": service.leave,
    }
    for line in sys.stdin:
        print(json.dumps(commands[line.strip()]()), flush=True)
    service.stop()


def describe_change(member: Member) -> tuple[float, str, str, str]:
    """Return the time of a member's change and its new state."""
    now_s = SystemClock().read_monotonic()
    return now_s, member.instance, member.state.value, member.target_state.value


def build_report(service: MembershipService, metrics: Metrics) -> DaemonReport:
    """Return the resources used by this process."""
    counters = metrics.read_counters()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    members = service.list_members()
    return DaemonReport(
        sum(member.state.value == "alive" for member in members),
        counters.get("membership_bytes_sent", 0),
        counters.get("membership_sync_bytes_sent", 0),
        counters.get("membership_datagrams_sent", 0),
        time.process_time(),
        pages * os.sysconf("SC_PAGE_SIZE"),
    )


class DaemonProcess:
    """A daemon process controlled through its standard input."""

    def __init__(self, number: int, ports: tuple[int, int], seed_port: int) -> None:
        self.instance = f"daemon-{number:04}"
        arguments = [str(number), *map(str, ports), str(seed_port)]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "measurements.membership.fleet", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read_answer(self) -> object:
        """Return the daemon's next response."""
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def ask(self, command: str) -> object:
        """Send a command and return the response."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return self.read_answer()

    def read_report(self) -> DaemonReport:
        """Return the resources used by the daemon."""
        report = self.ask("report")
        assert isinstance(report, dict)
        return DaemonReport(**report)

    def find_change(self, instance: str, state: str, target_state: str) -> float | None:
        """Return when the daemon first saw a member in these states, or None."""
        changes = self.ask("changes")
        assert isinstance(changes, list)
        for at_s, *change in changes:
            if change == [instance, state, target_state]:
                return float(at_s)
        return None

    def kill(self) -> None:
        """Kill the process without a graceful leave."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    """A fleet of daemons, with a spare port pair for a late joiner."""

    def __init__(self, size: int) -> None:
        self._reservation = PortReservation(2 * (size + 1))
        ports = self._reservation.ports
        self._pairs = list(zip(ports[::2], ports[1::2], strict=True))
        self.daemons = [self.start(number) for number in range(size)]
        for daemon in self.daemons:
            daemon.read_answer()

    def start(self, number: int) -> DaemonProcess:
        """Start one daemon; it sends a first response once it runs."""
        return DaemonProcess(number, self._pairs[number], self._pairs[0][1])

    def wait_until_joined(self) -> None:
        """Wait until every daemon sees all others alive."""
        size = len(self.daemons)
        wait_until(lambda: all(d.read_report().live == size for d in self.daemons))

    def read_reports(self) -> list[DaemonReport]:
        """Return the reports of all daemons."""
        return [daemon.read_report() for daemon in self.daemons]

    def wait_for_change(
        self, since_s: float, instance: str, state: str, target_state: str
    ) -> float:
        """Return the seconds until the last daemon saw a member in these states."""

        def find_times() -> list[float | None]:
            others = [d for d in self.daemons if d.instance != instance]
            return [d.find_change(instance, state, target_state) for d in others]

        wait_until(lambda: None not in find_times())
        return max(at_s for at_s in find_times() if at_s is not None) - since_s


def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds; raise TimeoutError after WAIT_LIMIT_S."""
    limit_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > limit_s:
            raise TimeoutError(f"condition not met within {WAIT_LIMIT_S} s")
        time.sleep(POLL_INTERVAL_S)


@contextlib.contextmanager
def open_fleet(size: int) -> Iterator[Fleet]:
    """Run a fleet and kill its processes at the end."""
    fleet = Fleet(size)
    try:
        yield fleet
    finally:
        for daemon in fleet.daemons:
            daemon.kill()


if __name__ == "__main__":
    run_daemon(*(int(argument) for argument in sys.argv[1:]))
