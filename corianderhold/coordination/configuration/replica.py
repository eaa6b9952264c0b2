"""Apply the configuration stream and keep recent records for peers."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import replace

from result import Ok

from corianderhold.coordination.configuration.const import (
    TAIL_BYTES_MAX,
    TAIL_RECORDS_MAX,
    UNCOMPRESSED_SNAPSHOT_BYTES_MAX,
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
    RecentChange,
    SnapshotRecord,
)

UpdateListener = Callable[[], None]
SnapshotListener = Callable[[Offset], None]
LOGGED_OUTCOMES = frozenset(
    {
        OutcomeKind.CORRUPT,
        OutcomeKind.UNKNOWN_FORMAT,
        OutcomeKind.SNAPSHOT_DIVERGED,
    }
)
EVACUATION_OUTCOMES = frozenset(
    {OutcomeKind.EVACUATION_BEGUN, OutcomeKind.EVACUATION_ENDED}
)
VALID_SNAPSHOT_OUTCOMES = frozenset(
    {OutcomeKind.SNAPSHOT_ADOPTED, OutcomeKind.SNAPSHOT_STALE}
)


class Replica:
    """
    Apply records from the log or from peers in order and activate the result.

    All methods are thread-safe.
    """

    def __init__(self, holder: ConfigurationHolder, metrics: Metrics) -> None:
        self.history = History()
        self._holder = holder
        self._metrics = metrics
        self._lock = threading.RLock()
        self._state: FoldState = INITIAL_STATE
        self._tail = Tail(TAIL_RECORDS_MAX, TAIL_BYTES_MAX)
        self._snapshot_offset: Offset | None = None
        self._update_listeners: list[UpdateListener] = []
        self._snapshot_listeners: list[SnapshotListener] = []

    @property
    def state(self) -> FoldState:
        """Return the current state."""
        return self._state

    @property
    def head(self) -> Head:
        """Return how far the stream is applied, never amid a batch of records."""
        with self._lock:
            return describe_head(self._state)

    def add_update_listener(self, listener: UpdateListener) -> None:
        """Call `listener` after records are applied or a snapshot is installed."""
        self._update_listeners.append(listener)

    def add_snapshot_listener(self, listener: SnapshotListener) -> None:
        """Call `listener` with the last offset covered by each valid snapshot."""
        self._snapshot_listeners.append(listener)

    def find_change(self, change_id: ChangeId) -> RecentChange | None:
        """Return the outcome of a change, or None if it is not remembered."""
        for change in reversed(self._state.recent_changes):
            if change.change_id == change_id:
                return change
        return None

    def slice_tail(
        self, from_offset: Offset, bytes_max: int, include_long_snapshot: bool = True
    ) -> tuple[LogRecord, ...]:
        """
        Return records from an offset on, none if that record is not kept.

        A long snapshot counts as not kept, unless `include_long_snapshot` is set.
        """
        with self._lock:
            if from_offset == self._snapshot_offset and not include_long_snapshot:
                return ()
            return self._tail.slice_from(from_offset, bytes_max)

    def apply_records(self, records: Sequence[LogRecord]) -> bool:
        """
        Apply the records that continue the state; return whether there were any.

        Stops at a gap, and after a snapshot that moves the state to another offset.
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
                self._activate()
        if advanced:
            self._notify_update_listeners()
        return advanced

    def install_snapshot(self, snapshot: SnapshotRecord) -> bool:
        """Install a snapshot if it is ahead; return whether it was."""
        with self._lock:
            self._state, outcome = adopt_snapshot(self._state, snapshot)
            self._report(outcome)
            if outcome.kind is not OutcomeKind.SNAPSHOT_ADOPTED:
                return False
            self._tail.clear()
            self._activate()
        self._notify_update_listeners()
        return True

    def rebase_offsets(self, snapshot: SnapshotRecord) -> bool:
        """
        Continue from the offset of a snapshot of the active state.

        Used after the log has restarted its offsets. Returns whether version and digest
        of the snapshot match the state.
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
        Apply one record; return whether the next one may follow.

        A snapshot that changes nothing is kept, and sent to peers, with empty data.
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
        if outcome.kind in VALID_SNAPSHOT_OUTCOMES and outcome.folded_to is not None:
            self._notify_snapshot_listeners(outcome.folded_to)
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
        """Restart the tail at a snapshot, which covers all earlier records."""
        self._tail.clear()
        self._tail.append(record)
        if len(record.data) > UNCOMPRESSED_SNAPSHOT_BYTES_MAX:
            self._snapshot_offset = record.offset

    def _activate(self) -> None:
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
        if outcome.kind in LOGGED_OUTCOMES:
            log_warning(
                "configuration_record_skipped",
                offset=outcome.offset,
                reason=outcome.kind,
                detail=outcome.detail,
            )
        elif outcome.kind in EVACUATION_OUTCOMES:
            log_event("evacuation_folded", domain=outcome.detail, outcome=outcome.kind)
        elif outcome.change_id is not None:
            log_event(
                "configuration_change_folded",
                change=outcome.change_id,
                outcome=outcome.kind,
                version=outcome.version,
            )

    def _notify_update_listeners(self) -> None:
        for listener in self._update_listeners:
            listener()

    def _notify_snapshot_listeners(self, folded_to: Offset) -> None:
        for listener in self._snapshot_listeners:
            listener(folded_to)


def describe_head(state: FoldState) -> Head:
    """Return the head of a state."""
    digest = bytes.fromhex(state.digest)[:DIGEST_BYTES]
    return Head(state.next_offset, state.version, digest)


def decode_snapshot(text: str) -> SnapshotRecord | None:
    """Return the snapshot in a record, or None for any other record."""
    decoded = decode_record(text)
    if isinstance(decoded, Ok) and isinstance(decoded.ok_value, SnapshotRecord):
        return decoded.ok_value
    return None
