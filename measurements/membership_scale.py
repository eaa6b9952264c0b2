"""
Measure update propagation and partitions in fleets too large for one machine.

Runs the state machines of all daemons in this process, on a fake clock and an
in-memory network without loss. Prints the seconds until 50 %, 99 % and all daemons
know of a change, and the bytes that each sends.
"""

import time
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from corianderhold.ids import ServiceName
from corianderhold.state.membership.model import MemberState, TargetState
from measurements.report import Target, judge_figures, print_figures
from tests.common.membership import FakeNetwork, Node, build_settled_fleet

SIZES = (100, 400, 1700)
CUT_SIZES = (100, 400)
DOMAINS = 15
SERVICE = ServiceName("rights")
WINDOW_S = 10.0
CUT_LIMIT_S = 300.0
POLL_S = 0.1
CUT_POLL_S = 1.0
SHARES = {"half": 0.5, "99_in_100": 0.99, "all": 1.0}
TARGETS = [
    Target("steady_bytes_per_s", highest=1024.0),
    Target("drain_all_s", highest=3.0),
    Target("leave_all_s", highest=3.0),
]


def count_bytes(nodes: list[Node]) -> float:
    """Return the mean bytes sent per daemon, including synchronisation."""
    gossip = sum(n.metrics.read_counters()["membership_bytes_sent"] for n in nodes)
    return (gossip + sum(node.sync_bytes for node in nodes)) / len(nodes)


def measure_spread(
    network: FakeNetwork, nodes: list[Node], name: str, knows: Callable[[Node], bool]
) -> dict[str, float]:
    """Return the seconds until each share of the daemons knows of a change."""
    start_s = network.now_s
    figures: dict[str, float] = {}
    for share_name, share in SHARES.items():
        while sum(map(knows, nodes)) < share * len(nodes):
            if network.now_s - start_s > CUT_LIMIT_S:
                return figures
            network.run(POLL_S)
        figures[f"{name}_{share_name}_s"] = network.now_s - start_s
    return figures


def measure_changes(network: FakeNetwork, nodes: list[Node]) -> dict[str, float]:
    """Return how fast an announcement, a drain, a leave and a death propagate."""
    subject, victim = nodes.pop(), nodes.pop()
    swim = subject.swim
    swim.announce_target(SERVICE, TargetState.SERVING, network.now_s)
    network.flush(subject)
    figures = measure_spread(network, nodes, "announce", build_check(subject))
    swim.announce_target(SERVICE, TargetState.DRAINING, network.now_s)
    network.flush(subject)
    figures |= measure_spread(network, nodes, "drain", build_check(subject))
    swim.leave(network.now_s)
    network.flush(subject)
    figures |= measure_spread(network, nodes, "leave", build_check(subject))
    network.kill(subject)
    network.kill(victim)
    check = build_check(victim, MemberState.DEAD)
    return figures | measure_spread(network, nodes, "death", check)


def build_check(
    subject: Node, state: MemberState | None = None
) -> Callable[[Node], bool]:
    """Return a check that a node sees the subject as announced, or in `state`."""
    own = subject.swim.own
    expected = own if state is None else replace(own, state=state)
    return lambda node: node.swim.get_member(own.instance) == expected


def measure_rest(
    network: FakeNetwork, size: int
) -> tuple[list[Node], dict[str, float]]:
    """Start a fleet; return it and the steady-state cost of a daemon."""
    nodes = build_settled_fleet(network, size)
    sent_bytes, processor_s = count_bytes(nodes), time.process_time()
    network.run(WINDOW_S)
    processor_s = time.process_time() - processor_s
    return nodes, {
        "steady_bytes_per_s": (count_bytes(nodes) - sent_bytes) / WINDOW_S,
        "core_share": processor_s / size / WINDOW_S,
    }


def measure_size(size: int, seed: int) -> dict[str, float]:
    """Return the steady-state cost of a daemon, and how fast changes propagate."""
    network = FakeNetwork(seed)
    nodes, figures = measure_rest(network, size)
    return figures | measure_changes(network, nodes)


def measure_cut(size: int, seed: int) -> dict[str, float]:
    """Partition one domain, then heal; return how long views take to converge."""
    network = FakeNetwork(seed)
    nodes = build_settled_fleet(network, size)
    domain, rest = nodes[::DOMAINS], [n for i, n in enumerate(nodes) if i % DOMAINS]
    network.cut(domain)
    start_s = network.now_s
    rest_s = measure_views(network, rest, len(rest))
    measure_views(network, domain, len(domain))
    domain_s = network.now_s - start_s
    network.heal()
    sent_bytes, start_s = count_bytes(nodes), network.now_s
    healed_s = measure_views(network, nodes, size)
    rate = (count_bytes(nodes) - sent_bytes) / (network.now_s - start_s)
    return {
        "rest_s": rest_s,
        "domain_s": domain_s,
        "healed_s": healed_s,
        "healing_bytes_per_s": rate,
    }


def measure_views(network: FakeNetwork, nodes: list[Node], live: int) -> float:
    """Return the seconds until each node sees `live` members, up to CUT_LIMIT_S."""
    start_s = network.now_s
    while any(len(node.swim.view.live) != live for node in nodes):
        if network.now_s - start_s > CUT_LIMIT_S:
            return CUT_LIMIT_S
        network.run(CUT_POLL_S)
    return network.now_s - start_s


def main(seed: int) -> int:
    """Measure all sizes; return 1 if a target is missed."""
    logger.disable("corianderhold")
    met = True
    for size in SIZES:
        figures = measure_size(size, seed)
        print_figures(f"changes_{size}", seed, dict(figures))
        met = judge_figures(figures, TARGETS) and met
    for size in CUT_SIZES:
        print_figures(f"domain_cut_{size}", seed, dict(measure_cut(size, seed)))
    return 0 if met else 1
