"""Record which request ran under which idempotency key, in bounded memory."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from corianderhold.coordination.once.const import (
    CLOCK_ERROR_MAX_S,
    KEY_FUTURE_TOLERANCE_S,
    RECORD_LIFETIME_S,
    RECORDED_BYTES_MAX,
    RECORDS_MAX,
)
from corianderhold.coordination.once.key import IdempotencyKey
from corianderhold.protocol.peer.messages import Header


class KeyDecisionState(Enum):
    """How to handle a request with an idempotency key."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FROM_THE_FUTURE = "from_the_future"


@dataclass(frozen=True)
class RecordedResponse:
    """A complete response, to be replayed to repeats."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass
class Record:
    """The request under a key; ended without a response if none could be recorded."""

    fingerprint: bytes
    ended: bool = False
    answer: RecordedResponse | None = None


@dataclass(frozen=True)
class KeyDecision:
    """The decision on a request, with the response to replay."""

    state: KeyDecisionState
    response: RecordedResponse | None = None


class IdempotencyRecords:
    """
    Decide on the keys of one shard during one tenure; thread-safe.

    A key without a record may only run if its timestamp is after the horizon. The
    horizon starts after the timestamp of every key that an earlier holder may have
    accepted, and moves past each evicted record, so that a repeat of an evicted key is
    refused and never runs.
    """

    def __init__(
        self,
        began_at: float,
        records_max: int = RECORDS_MAX,
        bytes_max: int = RECORDED_BYTES_MAX,
    ) -> None:
        """Start a tenure at the Unix time `began_at`, in seconds."""
        self._lock = threading.Lock()
        self._horizon = began_at + KEY_FUTURE_TOLERANCE_S + 2 * CLOCK_ERROR_MAX_S
        self._records: OrderedDict[IdempotencyKey, Record] = OrderedDict()
        self._records_max = records_max
        self._bytes_max = bytes_max
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, key: IdempotencyKey, fingerprint: bytes, now: float) -> KeyDecision:
        """Decide on a request at the Unix time `now`; a RUN must be ended once."""
        with self._lock:
            record = self._records.get(key)
            if record is not None:
                return decide_repeat(record, fingerprint)
            if key.made_at > now + KEY_FUTURE_TOLERANCE_S:
                return KeyDecision(KeyDecisionState.FROM_THE_FUTURE)
            if key.made_at <= self._horizon:
                return KeyDecision(KeyDecisionState.UNKNOWN)
            self._evict(now)
            self._records[key] = Record(fingerprint)
            return KeyDecision(KeyDecisionState.RUN)

    def end_not_run(self, key: IdempotencyKey) -> None:
        """Remove the record of a request that will not run; a repeat may run."""
        with self._lock:
            self._records.pop(key, None)

    def end_run(self, key: IdempotencyKey, answer: RecordedResponse | None) -> None:
        """Record that a request ran or may have run, with its complete response."""
        with self._lock:
            record = self._records.get(key)
            if record is None:
                return
            record.ended = True
            size = len(answer.body) if answer else 0
            if answer is not None and self._bytes + size <= self._bytes_max:
                record.answer = answer
                self._bytes += size

    def _evict(self, now: float) -> None:
        """Evict old records, and the oldest ones while there are too many."""
        while self._records:
            key, record = next(iter(self._records.items()))
            old = key.made_at < now - RECORD_LIFETIME_S
            if not record.ended or not (old or len(self._records) >= self._records_max):
                return
            del self._records[key]
            self._bytes -= len(record.answer.body) if record.answer else 0
            self._horizon = max(self._horizon, key.made_at)


def decide_repeat(record: Record, fingerprint: bytes) -> KeyDecision:
    """Decide on a request whose key has a record."""
    if record.fingerprint != fingerprint:
        return KeyDecision(KeyDecisionState.MISMATCH)
    if not record.ended:
        return KeyDecision(KeyDecisionState.IN_PROGRESS)
    if record.answer is None:
        return KeyDecision(KeyDecisionState.UNKNOWN)
    return KeyDecision(KeyDecisionState.REPLAY, record.answer)
