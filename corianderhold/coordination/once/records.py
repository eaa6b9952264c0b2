"""Remember what was run under which key, in bounded memory."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from corianderhold.coordination.once.const import (
    CLOCK_ERROR_S,
    KEY_AHEAD_S,
    RECORD_LIFETIME_S,
    RECORDED_BYTES_MAX,
    RECORDS_MAX,
)
from corianderhold.coordination.once.key import RequestKey
from corianderhold.protocol.peer.messages import Header


class BeginState(Enum):
    """What is to be done with a request under a key."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FROM_THE_FUTURE = "from_the_future"


@dataclass(frozen=True)
class RecordedAnswer:
    """A whole answer, kept for repeats."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass
class Record:
    """What became of a key; an answer of None after the end was not kept."""

    fingerprint: bytes
    ended: bool = False
    answer: RecordedAnswer | None = None


@dataclass(frozen=True)
class Begin:
    """The decision on a request, with the answer to replay."""

    state: BeginState
    answer: RecordedAnswer | None = None


class OnceRecords:
    """
    Decide for the keys of one shard during one tenure; thread-safe.

    A key that is not remembered may only run when its time is after the horizon. The
    horizon begins after the time of every key that an earlier holder can have
    accepted, and rises over each record that is forgotten, so forgetting refuses a
    repeat and never runs it.
    """

    def __init__(
        self,
        began_at: float,
        records_max: int = RECORDS_MAX,
        bytes_max: int = RECORDED_BYTES_MAX,
    ) -> None:
        """Begin a tenure at the Unix time `began_at`, in seconds."""
        self._lock = threading.Lock()
        self._horizon = began_at + KEY_AHEAD_S + 2 * CLOCK_ERROR_S
        self._records: OrderedDict[RequestKey, Record] = OrderedDict()
        self._records_max = records_max
        self._bytes_max = bytes_max
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, key: RequestKey, fingerprint: bytes, now: float) -> Begin:
        """Decide on a request at the Unix time `now`; RUN must be ended once."""
        with self._lock:
            record = self._records.get(key)
            if record is not None:
                return judge_repeat(record, fingerprint)
            if key.made_at > now + KEY_AHEAD_S:
                return Begin(BeginState.FROM_THE_FUTURE)
            if key.made_at <= self._horizon:
                return Begin(BeginState.UNKNOWN)
            self._forget(now)
            self._records[key] = Record(fingerprint)
            return Begin(BeginState.RUN)

    def end_not_run(self, key: RequestKey) -> None:
        """Forget a request that has not run and will not; it may come again."""
        with self._lock:
            self._records.pop(key, None)

    def end_run(self, key: RequestKey, answer: RecordedAnswer | None) -> None:
        """Remember that a request ran or may have run, with its whole answer."""
        with self._lock:
            record = self._records.get(key)
            if record is None:
                return
            record.ended = True
            size = len(answer.body) if answer else 0
            if answer is not None and self._bytes + size <= self._bytes_max:
                record.answer = answer
                self._bytes += size

    def _forget(self, now: float) -> None:
        """Make room: forget what is old, and the oldest beyond the bound."""
        while self._records:
            key, record = next(iter(self._records.items()))
            old = key.made_at < now - RECORD_LIFETIME_S
            if not record.ended or not (old or len(self._records) >= self._records_max):
                return
            del self._records[key]
            self._bytes -= len(record.answer.body) if record.answer else 0
            self._horizon = max(self._horizon, key.made_at)


def judge_repeat(record: Record, fingerprint: bytes) -> Begin:
    """Decide on a request whose key is remembered."""
    if record.fingerprint != fingerprint:
        return Begin(BeginState.MISMATCH)
    if not record.ended:
        return Begin(BeginState.IN_PROGRESS)
    if record.answer is None:
        return Begin(BeginState.UNKNOWN)
    return Begin(BeginState.REPLAY, record.answer)
