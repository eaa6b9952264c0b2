"""Simulate daemons on a fake clock and network."""

import math

from corianderhold.coordination.configuration.publisher import Publisher
from measurements.spread.changes import (
    LIMIT_S,
    RETENTION_S,
    SETTLE_S,
    WARM_UP_S,
    Spread,
    append,
    make_record,
    make_withdrawal,
)
from tests.common.changes import BASE
from tests.common.followers import Fleet
from tests.common.log import FakeLog


def measure_simulated(daemons: int, domains: int, seed: int) -> dict[str, float]:
    """Return the figures of one simulated fleet."""
    log = FakeLog()
    fleet = Fleet(domains, daemons, log, seed, RETENTION_S)
    append(log, make_record(0, BASE))
    fleet.run(2 * WARM_UP_S)
    reads, sent = log.reads, sum_sent(fleet)
    fleet.run(WARM_UP_S)
    reads_per_s = (log.reads - reads) / WARM_UP_S
    bytes_per_s = (sum_sent(fleet) - sent) / WARM_UP_S / daemons
    sent = sum_sent(fleet)
    append(log, make_withdrawal(1))
    polled = run_until_in_force(fleet, 2, daemons)
    fleet.run(SETTLE_S)
    change_bytes = (sum_sent(fleet) - sent) / daemons
    publisher = next(iter(fleet.daemons.values())).follower
    change = make_withdrawal(2)
    Publisher(publisher, log, fleet.clock, fleet.clock.advance).publish(change, 1.0)
    published = run_until_in_force(fleet, 3, daemons)
    return {
        "published_99_s": published.most_s,
        "published_all_s": published.all_s,
        "lost_publisher_99_s": polled.most_s,
        "lost_publisher_all_s": polled.all_s,
        "store_reads_per_s": reads_per_s,
        "bytes_per_s": bytes_per_s,
        "bytes_per_change": change_bytes,
    }


def sum_sent(fleet: Fleet) -> int:
    """Return the total bytes sent by all daemons."""
    return sum(daemon.bytes_sent for daemon in fleet.daemons.values())


def run_until_in_force(fleet: Fleet, version: int, daemons: int) -> Spread:
    """Run until all daemons have a version in force."""
    started = fleet.clock.elapsed
    most: list[float] = []

    def is_done() -> bool:
        count = fleet.in_force(version)
        if not most and count >= 0.99 * daemons:
            most.append(fleet.clock.elapsed - started)
        return count == daemons

    if not fleet.run_until(is_done, LIMIT_S):
        return Spread(math.inf, math.inf)
    return Spread(most[0], fleet.clock.elapsed - started)
