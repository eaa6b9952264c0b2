"""Share what tests of the SWIM state machine need."""

from collections.abc import Callable
from functools import wraps
from typing import TypeVar

from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.codec import (
    encode_datagram,
)
from corianderhold.protocol.membership.model import Datagram, DatagramKind
from corianderhold.protocol.membership.seal import DatagramSeal
from corianderhold.state.membership.model import Address, MemberState
from tests.common.membership import (
    SECRET,
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
    """Bring about faults between a few state machines."""

    def run_until(
        self, network: FakeNetwork, condition: Callable[[], bool], limit_s: float
    ) -> float:
        """Let time pass until the condition holds; return the seconds it took."""
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

    def show_state(self, nodes: list[Node], subject: Node) -> set[MemberState]:
        """Return the states in which the nodes see one member."""
        instance = subject.swim.own.instance
        return {
            member.state
            for node in nodes
            for member in node.swim.view.members
            if member.instance == instance
        }

    def run_until_seen(
        self,
        network: FakeNetwork,
        nodes: list[Node],
        subject: Node,
        state: MemberState,
        limit_s: float,
    ) -> None:
        """Let time pass until all nodes see one member in a state."""
        self.run_until(
            network, lambda: self.show_state(nodes, subject) == {state}, limit_s
        )

    def see_alive(self, nodes: list[Node], subjects: list[Node]) -> bool:
        """Return whether the nodes see no subject as dead."""
        return all(
            MemberState.DEAD not in self.show_state(nodes, subject)
            for subject in subjects
        )

    def inject(self, network: FakeNetwork, node: Node, update: bytes) -> None:
        """Hand a node an update as if a peer had gossiped it."""
        gossip = Datagram(
            DatagramKind.GOSSIP, 0, InstanceId("somebody"), updates=(update,)
        )
        data = DatagramSeal(SECRET).seal(encode_datagram(gossip))
        node.swim.receive(data, STRANGER, network.now_s)
