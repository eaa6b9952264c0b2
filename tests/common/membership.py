"""Connect SWIM state machines by an in-memory network with fault injection."""

import heapq
from dataclasses import dataclass, field
from random import Random

from corianderhold.coordination.membership.const import SYNC_INTERVAL_S
from corianderhold.coordination.membership.contacts import Contact
from corianderhold.coordination.membership.schedule import SyncSchedule
from corianderhold.coordination.membership.swim import Swim
from corianderhold.coordination.membership.sync import (
    answer_request,
    choose_peer,
    compute_digests,
    list_newer,
)
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.authentication import DatagramAuthenticator
from corianderhold.protocol.membership.codec import encode_reply, encode_request
from corianderhold.protocol.membership.model import SyncRecord, SyncRequest
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)

SECRET = b"fleet secret of the tests"
STEP_S = 0.05
START_S = 1000.0
SETTLE_S = 5.0


def build_member(
    number: int,
    incarnation: int = 1,
    sequence: int = 1,
    state: MemberState = MemberState.ALIVE,
    target_state: TargetState = TargetState.ABSENT,
    service: str | None = None,
) -> Member:
    """Return the member record of a daemon; its number determines the ports."""
    return Member(
        InstanceId(f"daemon-{number:04}"),
        Incarnation(incarnation),
        sequence,
        FailureDomainId(f"domain-{number % 6}"),
        RegionId(f"region-{number % 3}"),
        Address("127.0.0.1", 10000 + number),
        Address("127.0.0.1", 30000 + number),
        None if service is None else ServiceName(service),
        target_state,
        state,
    )


@dataclass
class Node:
    """Hold a state machine and its sent datagrams as (time in s, bytes) pairs."""

    swim: Swim
    metrics: Metrics
    schedule: SyncSchedule
    running: bool = True
    sync_bytes: int = 0
    sent: list[tuple[float, int]] = field(default_factory=list)
    inbox: list[tuple[Address, bytes]] = field(default_factory=list)


class FakeNetwork:
    """Move datagrams and time between nodes; the public fields bring about faults."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_s = START_S
        self.loss = 0.0
        self.duplication = 0.0
        self.latest_delay_s = 0.02
        self.nodes: dict[Address, Node] = {}
        self.blocked: set[frozenset[Address]] = set()
        self._sides: dict[Address, int] = {}
        self._queue: list[tuple[float, int, Address, Address, bytes]] = []
        self._sent = 0

    def add(self, member: Member, seeds: tuple[Address, ...]) -> Node:
        """Start a daemon, replacing one at the same address."""
        metrics = Metrics()
        swim = Swim(
            member,
            seeds,
            DatagramAuthenticator(SECRET),
            Random(self.random.getrandbits(64)),
            metrics,
            self.now_s,
        )
        schedule = SyncSchedule(Random(self.random.getrandbits(64)))
        node = Node(swim, metrics, schedule)
        self.nodes[member.gossip_address] = node
        return node

    def cut(self, side: list[Node]) -> None:
        """Partition these nodes from all others."""
        for node in side:
            self._sides[node.swim.own.gossip_address] = 1

    def heal(self) -> None:
        """End all partitions made by `cut`."""
        self._sides.clear()

    def kill(self, node: Node) -> None:
        """Remove a daemon without an announcement."""
        del self.nodes[node.swim.own.gossip_address]

    def run(self, seconds: float) -> None:
        """Advance the time for all running nodes."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for node in list(self.nodes.values()):
                if node.running:
                    self._run_node(node)

    def _run_node(self, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        for source, data in inbox:
            node.swim.receive(data, source, self.now_s)
        node.swim.tick(self.now_s)
        changes = node.swim.take_changes()
        if changes and node.schedule.due_at_s == float("inf"):
            node.schedule.record_join(self.now_s)
        if node.swim.take_revivals():
            node.schedule.record_revival(self.now_s, len(node.swim.view.live))
        self.flush(node)
        if self.now_s >= node.schedule.due_at_s:
            news = self._synchronize(node)
            node.schedule.record_outcome(news is not None, self.now_s, bool(news))

    def flush(self, node: Node) -> None:
        """Send the pending datagrams of a node."""
        for outgoing in node.swim.take_outgoing():
            node.sent.append((self.now_s, len(outgoing.data)))
            self.send(node.swim.own.gossip_address, outgoing.address, outgoing.data)

    def _synchronize(self, node: Node) -> int | None:
        """Synchronise member tables with a peer, as the service does over links."""
        joins = node.schedule.is_joining
        member = choose_peer(node.swim.view, node.swim.own, self.random, joins)
        if member is None:
            return None
        address = member.gossip_address
        peer = self.nodes.get(address)
        own = node.swim.own.gossip_address
        if peer is None or not peer.running or self._is_cut(own, address):
            return None
        request = SyncRequest(compute_digests(node.swim.view))
        reply = answer_request(peer.swim.view, request, self.now_s)
        newer = list_newer(node.swim.view, reply.buckets, reply.records, self.now_s)
        node.swim.merge_records(reply.records, self.now_s)
        peer.swim.merge_records(tuple(newer), self.now_s)
        node.sync_bytes += len(encode_request(request))
        node.sync_bytes += len(encode_request(SyncRequest((), "", tuple(newer))))
        peer.sync_bytes += len(encode_reply(reply))
        return len(reply.records) + len(newer)

    def _is_cut(self, address: Address, other: Address) -> bool:
        if frozenset({address, other}) in self.blocked:
            return True
        return self._sides.get(address, 0) != self._sides.get(other, 0)

    def send(self, source: Address, address: Address, data: bytes) -> None:
        """Send a datagram, subject to loss, duplication and delay."""
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            self._sent += 1
            due_s = self.now_s + self.random.uniform(0.0, self.latest_delay_s)
            heapq.heappush(self._queue, (due_s, self._sent, source, address, data))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now_s:
            _, _, source, address, data = heapq.heappop(self._queue)
            node = self.nodes.get(address)
            if node is not None and not self._is_cut(source, address):
                node.inbox.append((source, data))


def find_contact(member: Member) -> Contact:
    """Return the contact of a member, as recorded in the log."""
    return Contact(member.gossip_address, member.domain)


def introduce(network: FakeNetwork, nodes: list[Node]) -> None:
    """Give each node the contacts of all, as it would read them from the log."""
    contacts = tuple(find_contact(node.swim.own) for node in nodes)
    for node in nodes:
        node.swim.replace_contacts(contacts, network.now_s)
        network.flush(node)


def build_fleet(network: FakeNetwork, size: int) -> list[Node]:
    """Start `size` daemons with the first one as their seed."""
    seeds = (build_member(0).gossip_address,)
    return [network.add(build_member(number), seeds) for number in range(size)]


def build_settled_fleet(network: FakeNetwork, size: int) -> list[Node]:
    """Start daemons in the state after their first synchronisation."""
    nodes = build_fleet(network, size)
    records = tuple(SyncRecord(node.swim.own) for node in nodes)
    for node in nodes:
        node.swim.merge_records(records, network.now_s)
        node.swim.take_changes()
        due_s = network.random.uniform(0.0, SYNC_INTERVAL_S)
        node.schedule.due_at_s = network.now_s + due_s
    network.run(SETTLE_S)
    return nodes


def count_states(node: Node, state: MemberState) -> int:
    """Return how many members a node sees in this state."""
    return sum(1 for member in node.swim.view.members if member.state is state)
