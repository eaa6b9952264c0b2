"""Simulate many configuration followers on a fake clock, network and log."""

import heapq
from collections.abc import Callable
from random import Random

from result import Err, Ok, Result

from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.ids import FailureDomainId, Incarnation, InstanceId, RegionId
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.const import FRAME_BYTES_MAX
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.store.model import AppendOnlyLog
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberDirectory,
    TargetState,
)
from tests.common.clock import FakeClock

REGION = RegionId("r")
FRAME_BYTES = 32
NEAR_DELAY_S = 0.001
FAR_DELAY_S = 0.030


def build_member(
    domain: FailureDomainId, host: str, region: RegionId = REGION
) -> Member:
    """Return a live member whose host is also its id."""
    return Member(
        instance=InstanceId(host),
        incarnation=Incarnation(1),
        sequence=1,
        domain=domain,
        region=region,
        peer_address=Address(host, 7000),
        gossip_address=Address(host, 7001),
        service=None,
        target_state=TargetState.ABSENT,
    )


class SettableClock(FakeClock):
    """Let the simulation set the time to that of the current event."""

    def set_elapsed(self, seconds: float) -> None:
        self._monotonic_s = 1000.0 + seconds
        self._wall_s = 1.7e9 + seconds

    @property
    def elapsed(self) -> float:
        return self._monotonic_s - 1000.0


class StaticMembers:
    """Serve a member directory that tests edit."""

    def __init__(self) -> None:
        self.members: dict[InstanceId, Member] = {}

    def list_owners(self, service: str) -> tuple[Member, ...]:
        return ()

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return one member."""
        return self.members.get(instance)

    def list_members(self) -> tuple[Member, ...]:
        return tuple(self.members.values())


class Daemon:
    """Simulate one daemon with its own replica of the configuration."""

    def __init__(self, fleet: "Fleet", member: Member, log: AppendOnlyLog) -> None:
        self.member = member
        self.fleet = fleet
        self.up = True
        self.metrics = Metrics()
        self.holder = ConfigurationHolder()
        self.states: list[Configuration] = []
        self.holder.add_listener(self.states.append)
        self.bytes_sent = 0
        self.log = log
        members: MemberDirectory = fleet.members
        self.follower = ConfigurationFollower(
            instance=member.instance,
            domain=member.domain,
            retention_s=fleet.retention_s,
            log=log,
            client=self,
            members=members,
            holder=self.holder,
            clock=fleet.clock,
            random=Random(f"{fleet.seed}/{member.instance}"),
            metrics=self.metrics,
        )
        self.follower.replica.add_update_listener(self.schedule_push)

    @property
    def versions(self) -> list[int]:
        """Return the versions applied; an evacuation alone makes no new version."""
        versions: list[int] = []
        before: Configuration | None = None
        for state in self.states:
            if (
                before is None
                or state.version != before.version
                or state.evacuated == before.evacuated
            ):
                versions.append(state.version)
            before = state
        return versions

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Send a control request over the fake network."""
        return self.fleet.carry(self, address, body, timeout_s)

    def schedule_push(self) -> None:
        """Schedule an exchange with the queued peers after the push delay."""
        self.fleet.schedule(self.follower.compute_push_delay_s(), self._push)

    def _push(self) -> None:
        if self.up and self.follower.push_queued():
            self.fleet.schedule(0.0, self._push)


class Fleet:
    """
    Schedule the steps of all daemons.

    The delay of a request advances the clock only for the rest of the same event, so
    that the daemons run concurrently.
    """

    def __init__(
        self,
        domains: int,
        daemons: int,
        log: AppendOnlyLog,
        seed: int = 1,
        retention_s: float = 86_400.0,
    ) -> None:
        self.seed = seed
        self.clock = SettableClock()
        self.retention_s = retention_s
        self.members = StaticMembers()
        self.daemons: dict[str, Daemon] = {}
        self.far_bytes = 0
        self.cuts: set[frozenset[str]] = set()
        self.observe: Callable[[], None] = lambda: None
        self._log = log
        self._domains = domains
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        for number in range(daemons):
            self.add(f"d{number % domains}", f"10.0.{number // 250}.{number % 250}")

    def add(self, domain: str, host: str, log: AppendOnlyLog | None = None) -> Daemon:
        """Start a daemon, on its own log client where one is given."""
        member = build_member(FailureDomainId(domain), host)
        self.members.members[member.instance] = member
        daemon = Daemon(self, member, log or self._log)
        self.daemons[host] = daemon
        self._repeat(daemon, daemon.follower.poll_once)
        self._repeat(daemon, daemon.follower.exchange_once)
        return daemon

    def kill(self, daemon: Daemon) -> None:
        """Stop a daemon and remove it from the member directory."""
        daemon.up = False
        self.daemons.pop(daemon.member.peer_address.host)
        self.members.members.pop(daemon.member.instance)

    def cut(self, one: str, other: str) -> None:
        """Partition two domains from each other."""
        self.cuts.add(frozenset({one, other}))

    def schedule(self, delay_s: float, step: Callable[[], None]) -> None:
        """Run a step after a delay."""
        self._sequence += 1
        at = self.clock.elapsed + delay_s
        heapq.heappush(self._events, (at, self._sequence, step))

    def run(self, seconds: float) -> None:
        """Run all steps due within the given seconds."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run steps until a condition holds; return False if the limit is reached."""
        start = self.clock.elapsed
        while self._events and self._events[0][0] <= start + limit_s:
            at, _, step = heapq.heappop(self._events)
            self.clock.set_elapsed(max(start, at))
            step()
            self.observe()
            if condition():
                return True
        self.clock.set_elapsed(start + limit_s)
        return condition()

    def carry(
        self, sender: Daemon, address: Address, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Deliver a request and its reply, or time out if cut off or down."""
        peer = self.daemons.get(address.host)
        domains = {sender.member.domain, peer.member.domain} if peer else set()
        if peer is None or frozenset(domains) in self.cuts or not peer.up:
            self.clock.advance(timeout_s)
            return Err(ControlFailure.TIMEOUT)
        delay_s = NEAR_DELAY_S if len(domains) == 1 else FAR_DELAY_S
        self.clock.advance(delay_s)
        reply = peer.follower.handle_control(
            ControlSender(sender.member.instance), body
        )
        peer.schedule_push()
        self.clock.advance(delay_s)
        if max(len(body), len(reply)) + FRAME_BYTES > FRAME_BYTES_MAX:
            return Err(ControlFailure.REJECTED)
        sender.bytes_sent += len(body) + FRAME_BYTES
        peer.bytes_sent += len(reply) + FRAME_BYTES
        if len(domains) > 1:
            self.far_bytes += len(body) + len(reply) + 2 * FRAME_BYTES
        return Ok(reply)

    def in_force(self, version: int) -> int:
        """Return how many daemons have applied this version or a later one."""
        return sum(
            daemon.holder.current.version >= version for daemon in self.daemons.values()
        )

    def is_agreed(self) -> bool:
        """Return whether the replicas of all daemons have the same head."""
        heads = {daemon.follower.replica.head for daemon in self.daemons.values()}
        return len(heads) == 1

    def _repeat(self, daemon: Daemon, step: Callable[[], float]) -> None:
        def run_step() -> None:
            if daemon.up:
                self.schedule(step(), run_step)

        self.schedule(self._random.random(), run_step)
