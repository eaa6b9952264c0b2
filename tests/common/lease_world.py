"""Simulate several leases of one shard with an in-memory log and network."""

from dataclasses import dataclass, field

from corianderhold.coordination.lease.lease import Lease, LeaseTimes
from corianderhold.ids import Incarnation, InstanceId
from corianderhold.state.lease.model import (
    LeaseHolder,
    LeaseRecord,
    LeaseRecordId,
    ShardId,
)

SHARD = ShardId("shard")
TIMES = LeaseTimes(
    read_valid_s=1.0,
    takeover_wait_s=1.5,
    promise_s=2.0,
    promise_kept_s=3.0,
    unread_limit_s=8.0,
    newcomer_wait_s=10.0,
)
NAMES = ("holder", "first", "second", "newcomer")
SUCCESSORS = frozenset(InstanceId(name) for name in NAMES[1:3])


class RatedClock:
    """Run at a rate of its own to simulate clock drift."""

    def __init__(self) -> None:
        self.rate = 1.0
        self._now_s = 100.0

    def read_monotonic(self) -> float:
        """Return the time in seconds."""
        return self._now_s

    def read_wall(self) -> float:
        """Return the monotonic time, as leases use no wall time."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance by `seconds` of true time, scaled by the rate."""
        self._now_s += seconds * self.rate


@dataclass
class Node:
    """Hold one daemon and the log read and promises in flight to it."""

    name: InstanceId
    clock: RatedClock
    lease: Lease
    incarnation: int = 1
    read: tuple[float, int] | None = None
    promises: dict[int, tuple[int, float]] = field(default_factory=dict)


class LeaseWorld:
    """Provide one method for each kind of event in models/lease.pml."""

    def __init__(self, lease_class: type[Lease] = Lease) -> None:
        self._lease_class = lease_class
        self.log: list[LeaseRecord] = []
        self.appends: list[LeaseRecord] = []
        self.highest_acting = 0
        self._record_count = 0
        self.nodes: list[Node] = []
        for name in NAMES:
            clock = RatedClock()
            node = Node(InstanceId(name), clock, self._build_lease(name, 1, clock))
            self.nodes.append(node)
        self._elect_first_holder()

    def _build_lease(self, name: str, incarnation: int, clock: RatedClock) -> Lease:
        """Build the lease of a daemon that starts now."""
        holder = LeaseHolder(InstanceId(name), Incarnation(incarnation))
        return self._lease_class(SHARD, holder, clock, True, TIMES)

    def _elect_first_holder(self) -> None:
        """Make node 0 the holder, with all waits of the takeover expired."""
        self.claim(0, SUCCESSORS)
        self.land(0)
        for index in range(3):
            self.read(index)
        self.advance(TIMES.newcomer_wait_s * 2)
        self.read(0)

    def advance(self, seconds: float) -> None:
        """Let true time pass."""
        for node in self.nodes:
            node.clock.advance(seconds)
        self.observe()

    def send_read(self, index: int) -> None:
        """Read the log, leaving the response in flight."""
        node = self.nodes[index]
        node.read = (node.clock.read_monotonic(), len(self.log))

    def receive_read(self, index: int) -> None:
        """Deliver the read response in flight."""
        node = self.nodes[index]
        if node.read is not None:
            sent_at, length = node.read
            node.lease.receive_read(sent_at, self.log[:length])
            node.read = None

    def read(self, index: int) -> None:
        """Read the log without delay."""
        self.send_read(index)
        self.receive_read(index)
        self.observe()

    def take_over(self, index: int) -> None:
        """Append a takeover and read it back without delay."""
        self.read(index)
        self.claim(index, SUCCESSORS)
        self.land(-1)
        self.read(index)

    def ask_promise(self, asker: int, giver: int) -> None:
        """Request a promise, leaving the response in flight."""
        node = self.nodes[asker]
        term = node.lease.seen
        if term is None or not node.lease.holds or asker == giver:
            return
        sent_at = node.clock.read_monotonic()
        if self.nodes[giver].lease.give_promise(term.number):
            node.promises[giver] = (term.number, sent_at)

    def receive_promise(self, asker: int, giver: int) -> None:
        """Deliver the promise in flight."""
        answer = self.nodes[asker].promises.pop(giver, None)
        if answer is not None:
            lease = self.nodes[asker].lease
            lease.receive_promise(self.nodes[giver].name, *answer)

    def promise(self, asker: int, giver: int) -> None:
        """Request a promise and deliver it without delay."""
        self.ask_promise(asker, giver)
        self.receive_promise(asker, giver)
        self.observe()

    def _name_record(self) -> LeaseRecordId:
        """Return a fresh record id."""
        self._record_count += 1
        return LeaseRecordId(f"r{self._record_count}")

    def claim(self, index: int, successors: frozenset[InstanceId]) -> None:
        """Send a takeover record, or resend it while its outcome is unknown."""
        lease = self.nodes[index].lease
        record = lease.claim(self._name_record(), successors) or lease.claimed_on
        self._send(record)

    def renew(self, index: int, successors: frozenset[InstanceId]) -> None:
        """Send a renewal record with a new set of successors."""
        self._send(self.nodes[index].lease.renew(self._name_record(), successors))

    def hand_over(self, index: int, to: int) -> None:
        """Make a holder stop acting and send the record that names its successor."""
        if not self.nodes[index].lease.may_act() or index == to:
            return
        successor = self.nodes[to].lease.node
        record = self.nodes[index].lease.hand_over(self._name_record(), successor)
        self._send(record)

    def _send(self, record: LeaseRecord | None) -> None:
        """Put an append in flight."""
        if record is not None and record not in self.appends:
            self.appends.append(record)

    def land(self, position: int) -> None:
        """Apply an append in flight, losing its response."""
        if self.appends:
            self.log.append(self.appends.pop(position % len(self.appends)))

    def drop(self, position: int) -> None:
        """Lose an append in flight."""
        if self.appends:
            self.appends.pop(position % len(self.appends))

    def restart(self, index: int) -> None:
        """Restart a daemon without any of its in-memory state."""
        node = self.nodes[index]
        node.incarnation += 1
        node.lease = self._build_lease(node.name, node.incarnation, node.clock)
        node.read = None
        node.promises.clear()

    def list_acting(self) -> list[InstanceId]:
        """Return every daemon that may act now."""
        return [node.name for node in self.nodes if node.lease.may_act()]

    def observe(self) -> None:
        """Update the highest number of daemons that may act at the same time."""
        self.highest_acting = max(self.highest_acting, len(self.list_acting()))
