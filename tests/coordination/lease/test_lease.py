"""
Test the lease against the events of its specification, models/lease.pml.

Two daemons must never act for one shard at once, whatever the order of reads, appends,
promises, clock drift and restarts. Leases that lack one safeguard show that the random
events or the recorded counterexamples detect its absence.
"""

from unittest import TestCase

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from corianderhold.coordination.lease.lease import Lease, LeaseState
from tests.common.broken_leases import (
    CheckedOnceLease,
    DoubtfulPromiseLease,
    EndlessPromiseLease,
    LateReadLease,
    LateTimeLease,
    LoudStartLease,
    NoPromiseWaitLease,
    NoTakeoverWaitLease,
    OpenSetLease,
    ResumingLease,
    UnendingUnreadLease,
)
from tests.common.lease_world import NAMES, SUCCESSORS, LeaseWorld

NODES = st.integers(0, len(NAMES) - 1)
CANDIDATES = st.integers(1, len(NAMES) - 1)
POSITIONS = st.integers(0, 3)
ALL_NAMES = frozenset(node.name for node in LeaseWorld().nodes)
SETTINGS = settings(
    max_examples=400,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class LeaseMachine(RuleBasedStateMachine):
    """Apply random events; pauses and partitions are events that don't occur."""

    lease_class: type[Lease] = Lease

    def __init__(self) -> None:
        super().__init__()
        self.world = LeaseWorld(self.lease_class)

    @rule(seconds=st.sampled_from([0.3, 0.8, 1.2, 1.6]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(seconds=st.sampled_from([0.8, 1.6]))
    def extend_by_promises(self, seconds: float) -> None:
        self.collect_promises(0)
        self.world.advance(seconds)

    @rule(index=NODES, rate=st.sampled_from([0.9, 1.0, 1.1]))
    def drift(self, index: int, rate: float) -> None:
        self.world.nodes[index].clock.rate = rate

    @rule(index=NODES)
    def read(self, index: int) -> None:
        self.world.read(index)

    @rule(index=NODES)
    def send_read(self, index: int) -> None:
        self.world.send_read(index)

    @rule(index=NODES)
    def receive_read(self, index: int) -> None:
        self.world.receive_read(index)

    @rule(asker=NODES, giver=NODES)
    def ask_promise(self, asker: int, giver: int) -> None:
        self.world.ask_promise(asker, giver)

    @rule(asker=NODES, giver=NODES)
    def receive_promise(self, asker: int, giver: int) -> None:
        self.world.receive_promise(asker, giver)

    @rule(asker=NODES)
    def collect_promises(self, asker: int) -> None:
        for giver in range(len(NAMES)):
            self.world.promise(asker, giver)

    @rule(index=CANDIDATES)
    def claim(self, index: int) -> None:
        self.world.claim(index, ALL_NAMES)

    @rule(index=CANDIDATES)
    def claim_and_read_back(self, index: int) -> None:
        self.world.claim(index, ALL_NAMES)
        self.world.land(-1)
        self.world.read(index)

    @rule(index=NODES)
    def renew(self, index: int) -> None:
        self.world.renew(index, ALL_NAMES)

    @rule(index=NODES, to=NODES)
    def hand_over(self, index: int, to: int) -> None:
        self.world.hand_over(index, to)

    @rule(position=POSITIONS)
    def land(self, position: int) -> None:
        self.world.land(position)

    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        self.world.drop(position)

    @rule(index=NODES)
    def restart(self, index: int) -> None:
        self.world.restart(index)

    @invariant()
    def at_most_one_acts(self) -> None:
        acting = self.world.list_acting()
        if len(acting) > 1:
            raise ConcurrentHoldersError(acting)


class ConcurrentHoldersError(AssertionError):
    """Raised when two daemons may act for one shard at the same time."""


def run_machine(lease: type[Lease]) -> None:
    machine = type("Machine", (LeaseMachine,), {"lease_class": lease})
    run_state_machine_as_test(machine, settings=SETTINGS)


class LeaseMachineTests(TestCase):
    """Check random events, also for leases that lack a safeguard."""

    def test_never_two_holders_act(self) -> None:
        run_machine(Lease)

    def test_single_check_and_missing_takeover_wait_are_detected(self) -> None:
        for lease in (CheckedOnceLease, NoTakeoverWaitLease):
            with (
                self.subTest(lease.__name__),
                self.assertRaises(ConcurrentHoldersError),
            ):
                run_machine(lease)


# Leases that each lack the safeguard described, and events after which two act.
TRACES: dict[type[Lease], str] = {
    # A claimant waits until its own promise expires.
    NoPromiseWaitLease: "promise 0 1, promise 0 2, take_over 1, advance 1.6, read 1",
    # The validity of a promise starts before its request.
    LateTimeLease: (
        "ask_promise 0 1, ask_promise 0 2, claim 1, advance 0.9, read 0, land 0,"
        "read 1, advance 0.9, receive_promise 0 1, receive_promise 0 2, advance 1.25,"
        "read 1"
    ),
    # The validity of a read starts before its request.
    LateReadLease: (
        "send_read 0, take_over 1, advance 0.9, receive_read 0, advance 0.65, read 1"
    ),
    # Promises are usable only for a limited time after the last read.
    UnendingUnreadLease: (
        "take_over 3," + 7 * "promise 0 1, promise 0 2, advance 1.5," + "read 3"
    ),
    # A promise expires.
    EndlessPromiseLease: "promise 0 1, promise 0 2, take_over 1, advance 3.1, read 1",
    # A newcomer waits longer than a successor.
    OpenSetLease: "take_over 3, promise 0 1, promise 0 2, advance 1.6, read 3",
    # A daemon gives no promise while its append is in doubt.
    DoubtfulPromiseLease: (
        "claim 1, advance 0.9, land 0, promise 0 1, promise 0 2, read 1, advance 1.6,"
        "read 1"
    ),
    # A restarted successor waits for the duration of a promise.
    LoudStartLease: (
        "promise 0 1, promise 0 2, restart 1, take_over 1, advance 1.6, read 1"
    ),
    # A lapsed holder does not resume on promises alone.
    ResumingLease: (
        "take_over 1, advance 3.1, read 1, renew 1, land 0, read 1, restart 1,"
        "take_over 3, advance 1.6, read 3, promise 0 1, promise 0 2"
    ),
}
CLOSED_SETS = {"claim": SUCCESSORS, "renew": ALL_NAMES}


def replay(lease: type[Lease], trace: str) -> int:
    """Apply the events of a trace; return the most daemons that acted at once."""
    world = LeaseWorld(lease)
    for event in trace.split(","):
        name, *values = event.split()
        numbers = [float(each) if "." in each else int(each) for each in values]
        closed_set = [CLOSED_SETS[name]] if name in CLOSED_SETS else []
        getattr(world, name)(*numbers, *closed_set)
    return world.highest_acting


class LeaseTraceTests(TestCase):
    """Replay counterexamples with and without the safeguard that prevents them."""

    def test_each_safeguard_prevents_its_counterexample(self) -> None:
        for broken, trace in TRACES.items():
            with self.subTest(broken.__name__):
                self.assertEqual(replay(broken, trace), 2)
                self.assertEqual(replay(Lease, trace), 1)


class LeaseProgressTests(TestCase):
    """Check that the lease stays available for as long as is safe."""

    def test_holder_acts_on_promises_during_a_log_outage(self) -> None:
        world = LeaseWorld()
        for _ in range(5):
            world.promise(0, 1)
            world.promise(0, 2)
            world.advance(1.5)
            self.assertEqual(world.list_acting(), ["holder"])

    def test_one_missing_promise_ends_the_lease(self) -> None:
        world = LeaseWorld()
        world.promise(0, 1)
        world.advance(1.2)
        self.assertEqual(world.nodes[0].lease.state, LeaseState.LAPSED)
        world.read(0)
        self.assertEqual(world.nodes[0].lease.state, LeaseState.ACTING)

    def test_lapse_takes_effect_without_a_check_in_the_meantime(self) -> None:
        world = LeaseWorld()
        for node in world.nodes:
            node.clock.advance(3.1)
        for giver in (1, 2):
            world.ask_promise(0, giver)
            world.receive_promise(0, giver)
        self.assertFalse(world.nodes[0].lease.may_act())

    def test_successor_acts_after_its_wait(self) -> None:
        world = LeaseWorld()
        world.take_over(1)
        self.assertEqual(world.nodes[1].lease.state, LeaseState.WAITING)
        world.advance(1.5)
        world.read(1)
        self.assertEqual(world.list_acting(), ["first"])

    def test_handover_takes_effect_at_once(self) -> None:
        world = LeaseWorld()
        world.promise(0, 2)
        world.hand_over(0, 2)
        world.land(0)
        world.read(2)
        self.assertEqual(world.list_acting(), ["second"])

    def test_second_of_two_takeovers_is_ignored_and_promises_again(self) -> None:
        world = LeaseWorld()
        world.claim(1, SUCCESSORS)
        world.claim(2, SUCCESSORS)
        world.land(0)
        world.land(0)
        self.assertFalse(world.nodes[2].lease.give_promise(9))
        world.read(2)
        self.assertTrue(world.nodes[2].lease.give_promise(2))
        self.assertFalse(world.nodes[2].lease.give_promise(1))
