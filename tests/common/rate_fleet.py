"""Simulate entries, stewards and leases of several domains on a fake clock."""

from dataclasses import dataclass, replace
from random import Random

from result import Err, Ok, Result

from corianderhold.coordination.lease.const import STEP_INTERVAL_S
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.lease.manager import LeaseManager
from corianderhold.coordination.rate.charger import StewardCharger
from corianderhold.coordination.rate.entry import EntryLoans
from corianderhold.coordination.rate.limiter import AllowanceLimiter
from corianderhold.coordination.rate.shards import list_shards, name_shard
from corianderhold.coordination.rate.steward import RateSteward
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    Offset,
    OrganisationId,
    Version,
)
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlHandler,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    ReadFailure,
    StreamName,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from corianderhold.state.lease.model import LeaseHolder
from corianderhold.state.membership.model import Address, MemberState
from tests.common.clock import FakeClock
from tests.common.followers import StaticMembers, build_member
from tests.common.log import FakeLog

TICK_S = 0.1
DEATH_SEEN_AFTER_S = 3.0
STORE = FailureDomainId("store")


class Network:
    """Simulate partitions of domains and random loss of messages."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.cut: set[FailureDomainId] = set()
        self.loss = 0.0
        self.dead: set[InstanceId] = set()
        self.nodes: dict[Address, Node] = {}
        self.messages = 0

    def connects(self, one: FailureDomainId, other: FailureDomainId) -> bool:
        """Return whether two domains can reach each other."""
        return one == other or (one not in self.cut and other not in self.cut)

    def loses(self) -> bool:
        """Return whether the next message is lost, at random."""
        return self.random.random() < self.loss


class FleetMembers(StaticMembers):
    """List all nodes; a killed node is marked dead only after a detection delay."""

    def mark_dead(self, instance: InstanceId) -> None:
        """Mark an instance as dead in the view of every node."""
        member = self.members[instance]
        self.members[instance] = replace(member, state=MemberState.DEAD)


@dataclass
class NodeControl:
    """Send one node's control requests; request and reply may each be lost."""

    network: Network
    sender: InstanceId
    domain: FailureDomainId

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Call the other node's handler."""
        network = self.network
        network.messages += 1
        target = network.nodes[address]
        reached = network.connects(self.domain, target.domain)
        if not reached or target.name in network.dead or network.loses():
            return Err(ControlFailure.TIMEOUT)
        reply = target.handlers[topic].handle_control(ControlSender(self.sender), body)
        return Err(ControlFailure.TIMEOUT) if network.loses() else Ok(reply)


@dataclass
class NodeLog:
    """Access the log from one node, subject to partitions and loss."""

    log: FakeLog
    network: Network
    domain: FailureDomainId
    read_only: frozenset[StreamName] = frozenset()

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Append unless the domain is cut off; the response may be lost."""
        if not self.network.connects(self.domain, STORE):
            return Err(AppendFailure.UNKNOWN)
        answer = self.log.append(stream, data, timeout_s)
        return Err(AppendFailure.UNKNOWN) if self.network.loses() else answer

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Read unless the domain is cut off or the message is lost."""
        if not self.network.connects(self.domain, STORE) or self.network.loses():
            return Err(ReadFailure.UNAVAILABLE)
        return self.log.read(stream, from_offset, limit, timeout_s, wait_s)


class Node:
    """Simulate one daemon as entry, steward and lease candidate."""

    def __init__(self, fleet: "RateFleet", domain: FailureDomainId, index: int) -> None:
        self.name = InstanceId(f"{domain}-{index}")
        self.domain = domain
        self.address = Address("127.0.0.1", len(fleet.network.nodes) + 1)
        holder = LeaseHolder(self.name, Incarnation(1))
        clock, members = fleet.clock, fleet.members
        control = NodeControl(fleet.network, self.name, domain)
        log = NodeLog(fleet.log, fleet.network, domain)
        self.manager = LeaseManager(
            holder, list_shards(domain), clock, log, control, members
        )
        locator = HolderLocator(members)
        self.steward = RateSteward(
            StewardClient(holder, domain, True, clock, control, locator),
            domain,
            fleet.configuration,
            clock,
            self.manager,
            Random(fleet.random.random()),
        )
        self.limiter = AllowanceLimiter()
        messenger = StewardClient(holder, domain, False, clock, control, locator)
        self.charger = StewardCharger(
            self.limiter,
            StewardClient(holder, domain, False, clock, control, locator),
            domain,
            clock,
        )
        self.loans = EntryLoans(self.limiter, messenger, domain, clock)
        self.handlers: dict[ControlTopic, ControlHandler] = {
            ControlTopic.LEASE: self.manager,
            ControlTopic.RATE: self.steward,
        }
        phase = fleet.random.random()
        self.step_at = clock.read_monotonic() + phase * STEP_INTERVAL_S

    def run_due(self, now: float) -> None:
        """Run the periodic work of the node's threads that is due."""
        if now >= self.step_at:
            self.step_at = now + STEP_INTERVAL_S
            self.manager.step()
        self.steward.renew_if_due()
        self.loans.renew_if_due()


class RateFleet:
    """Build all nodes and advance their time."""

    def __init__(
        self,
        organisations: list[Organisation],
        domains: list[FailureDomainId],
        entries: int,
        seed: int,
    ) -> None:
        self.random = Random(seed)
        self.clock = FakeClock()
        self.log = FakeLog()
        self.network = Network(Random(seed + 1))
        self.members = FleetMembers()
        self.configuration = ConfigurationHolder()
        named = {organisation.name: organisation for organisation in organisations}
        self.configuration.replace(Configuration(Version(1), organisations=named))
        self.nodes: list[Node] = []
        self._deaths: list[tuple[float, InstanceId]] = []
        for domain in domains:
            for index in range(entries):
                self._add_node(domain, index)

    def _add_node(self, domain: FailureDomainId, index: int) -> None:
        """Start one node."""
        node = Node(self, domain, index)
        self.nodes.append(node)
        self.network.nodes[node.address] = node
        member = replace(build_member(domain, node.name), peer_address=node.address)
        self.members.members[node.name] = member

    def list_live(self, domain: FailureDomainId) -> list[Node]:
        """Return the running nodes of a domain."""
        dead = self.network.dead
        return [n for n in self.nodes if n.domain == domain and n.name not in dead]

    def tick(self) -> float:
        """Advance by TICK_S, run what is due and return the monotonic time."""
        self.clock.advance(TICK_S)
        now = self.clock.read_monotonic()
        for died_at, name in self._deaths:
            if now - died_at >= DEATH_SEEN_AFTER_S:
                self.members.mark_dead(name)
        for node in self.nodes:
            if node.name not in self.network.dead:
                node.run_due(now)
        return now

    def run(self, seconds: float) -> None:
        """Advance the time without calls."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def kill(self, node: Node) -> None:
        """Stop a node without an announcement."""
        self.network.dead.add(node.name)
        self._deaths.append((self.clock.read_monotonic(), node.name))

    def find_steward(
        self, domain: FailureDomainId, organisation: OrganisationId
    ) -> Node | None:
        """Return the node that may act for an organisation in a domain."""
        shard = name_shard(domain, organisation)
        for node in self.list_live(domain):
            if node.manager.find_tenure(shard) is not None:
                return node
        return None


class WindowCheck:
    """Find the window with the highest excess of admissions over rate x length."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._lowest = 0.0
        self._admitted = 0
        self._began_at: float | None = None
        self.worst = 0.0

    def note(self, now: float, admitted: int) -> None:
        """Record the admissions of all entries at one time."""
        if self._began_at is None:
            self._began_at = now
        earned = self._rate * (now - self._began_at)
        self._lowest = min(self._lowest, self._admitted - earned)
        self._admitted += admitted
        self.worst = max(self.worst, self._admitted - earned - self._lowest)
