"""Provide the base class for tests of the SWIM state machine."""

from collections.abc import Callable
from functools import wraps
from typing import TypeVar

from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.authentication import DatagramAuthenticator
from corianderhold.protocol.membership.codec import (
    encode_datagram,
)
from corianderhold.protocol.membership.model import Datagram, DatagramKind
from corianderhold.state.membership.model import Address, Member, MemberState
from tests.common.membership import (
    SECRET,
    STEP_S,
    FakeNetwork,
    Node,
    build_fleet,
    count_states,
)
from tests.common.quiet import QuietTestCase

SEEDS = (1, 2, 3)
LIMIT_S = 120.0
STRANGER = Address("127.0.0.1", 9)

CaseT = TypeVar("CaseT", bound="SwimTestCase")


def with_seeds(test: Callable[[CaseT, int], None]) -> Callable[[CaseT], None]:
    """Run a test once for each seed."""

    @wraps(test)
    def run(self: CaseT) -> None:
        for seed in SEEDS:
            try:
                test(self, seed)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error

    return run


class SwimTestCase(QuietTestCase):
    """Run a few state machines and check how they see each other."""

    def run_until(
        self, network: FakeNetwork, condition: Callable[[], bool], limit_s: float
    ) -> float:
        """Advance the time until the condition holds; return the elapsed seconds."""
        start_s = network.now_s
        while not condition():
            if network.now_s - start_s > limit_s:
                self.fail(f"condition not met within {limit_s} s")
            network.run(0.2)
        return network.now_s - start_s

    def start_fleet(self, seed: int, size: int) -> tuple[FakeNetwork, list[Node]]:
        """Start daemons and wait until each sees all others alive."""
        network = FakeNetwork(seed)
        nodes = build_fleet(network, size)
        self.run_until(network, lambda: self.agree(nodes, size), LIMIT_S)
        return network, nodes

    def agree(self, nodes: list[Node], alive: int) -> bool:
        """Return whether each of the nodes sees this many members alive."""
        return all(count_states(node, MemberState.ALIVE) == alive for node in nodes)

    def list_seen(self, nodes: list[Node], subject: Node) -> list[Member]:
        """Return one member as each of the nodes sees it."""
        instance = subject.swim.own.instance
        found = [node.swim.get_member(instance) for node in nodes]
        return [member for member in found if member is not None]

    def show_state(self, nodes: list[Node], subject: Node) -> set[MemberState]:
        """Return the states in which the nodes see one member."""
        return {member.state for member in self.list_seen(nodes, subject)}

    def run_until_seen(
        self,
        network: FakeNetwork,
        nodes: list[Node],
        subject: Node,
        state: MemberState,
        limit_s: float,
    ) -> None:
        """Advance the time until all nodes see a member in a state."""
        self.run_until(
            network, lambda: self.show_state(nodes, subject) == {state}, limit_s
        )

    def see_alive(self, nodes: list[Node], subjects: list[Node]) -> bool:
        """Return whether no node sees any subject as dead."""
        return all(
            MemberState.DEAD not in self.show_state(nodes, subject)
            for subject in subjects
        )

    def check_never(
        self,
        network: FakeNetwork,
        nodes: list[Node],
        state: MemberState,
        steps: int,
        step_s: float = STEP_S,
    ) -> None:
        """Advance the time and check that no node sees any member in a state."""
        for _ in range(steps):
            network.run(step_s)
            for node in nodes:
                self.assertEqual(count_states(node, state), 0)

    def pause(self, network: FakeNetwork, node: Node, seconds: float) -> None:
        """Pause a node for some seconds."""
        node.running = False
        network.run(seconds)
        node.running = True

    def inject(
        self, network: FakeNetwork, node: Node, *updates: bytes, claim: bytes = b""
    ) -> None:
        """Deliver updates or a claim to a node as gossip of an unknown peer."""
        claims = (claim,) if claim else ()
        sender = InstanceId("somebody")
        gossip = Datagram(
            DatagramKind.GOSSIP, 0, sender, updates=updates, claims=claims
        )
        data = DatagramAuthenticator(SECRET).sign(encode_datagram(gossip))
        node.swim.receive(data, STRANGER, network.now_s)
