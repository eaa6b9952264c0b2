"""Measure a daemon's start from the log without peers."""

import time
from dataclasses import replace
from random import Random

from corianderhold.clock import SystemClock
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.ids import FailureDomainId, InstanceId, KeyId, OrganisationId
from corianderhold.metrics import Metrics
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.configuration.codec import encode_snapshot
from corianderhold.state.configuration.fold import build_snapshot
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import ApiKey
from measurements.spread.changes import (
    LOG_TIMEOUT_S,
    RETENTION_S,
    append,
    make_record,
    make_withdrawal,
)
from measurements.spread.threads import DelayedNetwork
from tests.common.changes import BASE
from tests.common.followers import StaticMembers, build_member
from tests.common.log import FakeLog

DAY_CHANGES = 5300
KEYS = 2000


def measure_cold_start(seed: int) -> dict[str, float]:
    """Return how long a daemon takes to load one day of changes from the log."""
    keys = tuple(
        ApiKey(KeyId(f"k{number}"), OrganisationId("radio"), "0" * 64)
        for number in range(KEYS)
    )
    log = FakeLog()
    append(log, make_record(0, replace(BASE, keys=keys)))
    for base in range(1, DAY_CHANGES):
        append(log, make_withdrawal(base))
    replay_s, reads, follower = start_from_log(log, seed)
    text = encode_snapshot(build_snapshot(follower.replica.state))
    log.append(StreamName.CONFIGURATION, text, LOG_TIMEOUT_S)
    for base in range(DAY_CHANGES, DAY_CHANGES + 128):
        append(log, make_withdrawal(base))
    snapshot_s, snapshot_reads, _ = start_from_log(log, seed)
    return {
        "changes": DAY_CHANGES,
        "replay_s": replay_s,
        "replay_reads": reads,
        "snapshot_and_tail_s": snapshot_s,
        "snapshot_and_tail_reads": snapshot_reads,
        "snapshot_bytes": len(text),
    }


def start_from_log(
    log: FakeLog, seed: int
) -> tuple[float, float, ConfigurationFollower]:
    """Start a daemon without peers; return seconds, reads and its follower."""
    clock = SystemClock()
    member = build_member(FailureDomainId("d0"), "10.9.9.9")
    follower = ConfigurationFollower(
        InstanceId("fresh"),
        member.domain,
        RETENTION_S,
        log,
        DelayedNetwork().connect(member),
        StaticMembers(),
        ConfigurationHolder(),
        clock,
        Random(seed),
        Metrics(),
    )
    reads, started = log.reads, time.monotonic()
    follower.read_log()
    return time.monotonic() - started, log.reads - reads, follower
