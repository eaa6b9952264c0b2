"""Fold the configuration stream and give what peers need to follow."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import replace

from result import Ok

from corianderhold.coordination.configuration.const import (
    PLAIN_SNAPSHOT_BYTES_MAX,
    TAIL_BYTES_MAX,
    TAIL_RECORDS_MAX,
)
from corianderhold.coordination.configuration.history import History
from corianderhold.coordination.configuration.tail import Tail
from corianderhold.ids import ChangeId, Offset
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.const import DIGEST_BYTES
from corianderhold.protocol.configuration.messages import Head
from corianderhold.protocol.store.model import LogRecord
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldOutcome,
    FoldState,
    OutcomeKind,
    adopt_snapshot,
    fold,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import (
    RememberedChange,
    SnapshotRecord,
)

NewsListener = Callable[[], None]
SnapshotListener = Callable[[Offset], None]
LOGGED = frozenset(
    {
        OutcomeKind.CORRUPT,
        OutcomeKind.UNKNOWN_FORMAT,
        OutcomeKind.SNAPSHOT_DIVERGED,
    }
)
EVACUATIONS = frozenset({OutcomeKind.EVACUATION_BEGUN, OutcomeKind.EVACUATION_ENDED})
VALID_SNAPSHOTS = frozenset({OutcomeKind.SNAPSHOT_ADOPTED, OutcomeKind.SNAPSHOT_STALE})


class Replica:
    """
    Fold records in order, from the log or from peers, and put the result in force.

    All methods may be called from any thread.
    """

    def __init__(self, holder: ConfigurationHolder, metrics: Metrics) -> None:
        self.history = History()
        self._holder = holder
        self._metrics = metrics
        self._lock = threading.RLock()
        self._state: FoldState = INITIAL_STATE
        self._tail = Tail(TAIL_RECORDS_MAX, TAIL_BYTES_MAX)
        self._snapshot_offset: Offset | None = None
        self._news_listeners: list[NewsListener] = []
        self._snapshot_listeners: list[SnapshotListener] = []

    @property
    def state(self) -> FoldState:
        """Return the state of the fold."""
        return self._state

    @property
    def head(self) -> Head:
        """Return how far the stream is folded, after all records of one read."""
        with self._lock:
            return describe_head(self._state)

    def add_news_listener(self, listener: NewsListener) -> None:
        """Call `listener` after records were folded or a snapshot was adopted."""
        self._news_listeners.append(listener)

    def add_snapshot_listener(self, listener: SnapshotListener) -> None:
        """Call `listener` with the last offset of each valid snapshot of the log."""
        self._snapshot_listeners.append(listener)

    def find_change(self, change_id: ChangeId) -> RememberedChange | None:
        """Return what became of a change, None when it is not remembered."""
        for change in reversed(self._state.remembered):
            if change.change_id == change_id:
                return change
        return None

    def slice_tail(
        self, from_offset: Offset, bytes_max: int, plain_snapshot: bool = True
    ) -> tuple[LogRecord, ...]:
        """
        Return records from an offset on, none when that one is not kept.

        Without `plain_snapshot`, also none when that one is a long snapshot.
        """
        with self._lock:
            if from_offset == self._snapshot_offset and not plain_snapshot:
                return ()
            return self._tail.slice_from(from_offset, bytes_max)

    def take_records(self, records: Sequence[LogRecord]) -> bool:
        """
        Fold the records that continue the state; return whether there were any.

        Stops at a gap and after a snapshot that moves the state elsewhere.
        """
        with self._lock:
            before = self._state
            for record in records:
                if record.offset > self._state.next_offset:
                    break
                if not self._fold_record(record):
                    break
            advanced = self._state is not before
            if advanced:
                self._put_in_force()
        if advanced:
            self._notify_news()
        return advanced

    def take_snapshot(self, snapshot: SnapshotRecord) -> bool:
        """Adopt a snapshot where it is ahead; return whether it was."""
        with self._lock:
            self._state, outcome = adopt_snapshot(self._state, snapshot)
            self._report(outcome)
            if outcome.kind is not OutcomeKind.SNAPSHOT_ADOPTED:
                return False
            self._tail.clear()
            self._put_in_force()
        self._notify_news()
        return True

    def renumber(self, snapshot: SnapshotRecord) -> bool:
        """
        Go on from a snapshot of the state in force; return whether it is one.

        For a log whose offsets began anew.
        """
        with self._lock:
            state = self._state
            if (snapshot.configuration.version, snapshot.digest) != (
                state.version,
                state.digest,
            ):
                return False
            self._state = replace(state, next_offset=Offset(snapshot.folded_to + 1))
            self._tail.clear()
        return True

    def _fold_record(self, record: LogRecord) -> bool:
        """
        Fold one record; return whether the next one may follow.

        A snapshot that changes nothing is kept, and comes from peers, without its text.
        """
        if record.offset < self._state.next_offset:
            return True
        if not record.data:
            self._state = replace(self._state, next_offset=Offset(record.offset + 1))
            self._tail.append(record)
            return True
        self._state, outcome = fold(self._state, record.offset, record.data)
        self._report(outcome)
        self.history.record(record.data, outcome)
        if outcome.kind in VALID_SNAPSHOTS and outcome.folded_to is not None:
            self._notify_snapshot(outcome.folded_to)
        if self._state.next_offset != record.offset + 1:
            self._tail.clear()
            return False
        if outcome.kind is OutcomeKind.SNAPSHOT_ADOPTED:
            self._replace_tail(record)
            return True
        stale = outcome.kind is OutcomeKind.SNAPSHOT_STALE
        self._tail.append(LogRecord(record.offset, "") if stale else record)
        return True

    def _replace_tail(self, record: LogRecord) -> None:
        """Begin the tail anew with a snapshot, which holds what came before it."""
        self._tail.clear()
        self._tail.append(record)
        if len(record.data) > PLAIN_SNAPSHOT_BYTES_MAX:
            self._snapshot_offset = record.offset

    def _put_in_force(self) -> None:
        configuration = self._state.configuration
        if self._holder.replace(configuration):
            log_event(
                "configuration_in_force",
                version=configuration.version,
                evacuated=",".join(sorted(configuration.evacuated)),
                next_offset=self._state.next_offset,
            )

    def _report(self, outcome: FoldOutcome) -> None:
        self._metrics.increment(f"configuration_fold_{outcome.kind.value}")
        if outcome.kind in LOGGED:
            log_warning(
                "configuration_record_skipped",
                offset=outcome.offset,
                reason=outcome.kind,
                detail=outcome.detail,
            )
        elif outcome.kind in EVACUATIONS:
            log_event("evacuation_folded", domain=outcome.detail, outcome=outcome.kind)
        elif outcome.change_id is not None:
            log_event(
                "configuration_change_folded",
                change=outcome.change_id,
                outcome=outcome.kind,
                version=outcome.version,
            )

    def _notify_news(self) -> None:
        for listener in self._news_listeners:
            listener()

    def _notify_snapshot(self, folded_to: Offset) -> None:
        for listener in self._snapshot_listeners:
            listener(folded_to)


def describe_head(state: FoldState) -> Head:
    """Return the head of a state."""
    digest = bytes.fromhex(state.digest)[:DIGEST_BYTES]
    return Head(state.next_offset, state.version, digest)


def decode_snapshot(text: str) -> SnapshotRecord | None:
    """Return the snapshot in a text of the log, None for any other text."""
    decoded = decode_record(text)
    if isinstance(decoded, Ok) and isinstance(decoded.ok_value, SnapshotRecord):
        return decoded.ok_value
    return None
