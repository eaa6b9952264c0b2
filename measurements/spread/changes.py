"""Create changes to measure, and summarise when they came into force."""

import math
from dataclasses import dataclass, replace

from corianderhold.ids import ChangeId, KeyId, Version
from corianderhold.protocol.store.model import AppendOnlyLog, StreamName
from corianderhold.state.configuration.codec import encode_change
from corianderhold.state.configuration.records import ChangeRecord, Delta
from tests.common.changes import RADIO_KEY

RETENTION_S = 86_400.0
WARM_UP_S = 5.0
SETTLE_S = 2.0
LIMIT_S = 30.0
LOG_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class Spread:
    """Seconds from acceptance until 99 % and all daemons had a change."""

    most_s: float
    all_s: float


def summarize_times(times: list[float]) -> Spread:
    """Return the 99th percentile and the maximum of sorted times."""
    most = max(0, math.ceil(len(times) * 0.99) - 1)
    return Spread(times[most], times[-1])


def make_withdrawal(base: int) -> ChangeRecord:
    """Return a change of one key, based on version `base`."""
    key = replace(RADIO_KEY, key_id=KeyId(f"key-{base}"), withdrawn=base % 2 == 0)
    return make_record(base, Delta(keys=(key,)))


def make_record(base: int, delta: Delta) -> ChangeRecord:
    """Return a change based on version `base`, which also gives its id."""
    change_id = ChangeId(f"change-{base}")
    return ChangeRecord(change_id, Version(base), "measurement", 1.7e9, "", delta)


def append(log: AppendOnlyLog, change: ChangeRecord) -> None:
    """Append a change without notifying daemons, like a publisher that crashes."""
    text = encode_change(change)
    log.append(StreamName.CONFIGURATION, text, LOG_TIMEOUT_S).unwrap()
