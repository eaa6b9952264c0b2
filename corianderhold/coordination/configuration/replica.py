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
from corianderhold.coordination.configuration.restored import RestoredStream
from corianderhold.coordination.configuration.tail import Tail
from corianderhold.ids import ChangeId, FailureDomainId, Offset, StoreEra, Version
from corianderhold.log import log_event, log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.const import DIGEST_BYTES
from corianderhold.protocol.configuration.messages import Head
from corianderhold.protocol.store.model import LogRecord
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.const import MAX_COUNTED_VERSION
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldOutcome,
    FoldState,
    OutcomeKind,
    adopt_content,
    adopt_snapshot,
    fold,
    follow_restored,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import (
    RecentChange,
    SnapshotRecord,
)

UpdateListener = Callable[[], None]
SnapshotListener = Callable[[Offset], None]
EraListener = Callable[[StoreEra], None]
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
        self._is_ahead_of_log = False
        self._update_listeners: list[UpdateListener] = []
        self._snapshot_listeners: list[SnapshotListener] = []
        self._era_listeners: list[EraListener] = []

    @property
    def state(self) -> FoldState:
        """Return the current state."""
        return self._state

    @property
    def head(self) -> Head:
        """Return how far the stream is applied, never amid a batch of records."""
        with self._lock:
            return describe_head(self._state)

    @property
    def is_ahead_of_log(self) -> bool:
        """Return whether the log has lost a part of the state in a restore."""
        return self._is_ahead_of_log

    def mark_logged(self, state: FoldState) -> None:
        """Record that a snapshot of `state` has been appended to the log."""
        with self._lock:
            if state is self._state:
                self._is_ahead_of_log = False

    def add_era_listener(self, listener: EraListener) -> None:
        """Call `listener` with each later era that the state moves to."""
        self._era_listeners.append(listener)

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

    def find_record(self, offset: Offset) -> LogRecord | None:
        """Return the record applied at an offset, None if it is not kept."""
        kept = self.slice_tail(offset, 0)
        return kept[0] if kept and kept[0].offset == offset else None

    def apply_records(self, records: Sequence[LogRecord], era: StoreEra) -> bool:
        """
        Apply the records that continue the state; return whether there were any.

        Records of another era than the state's are ignored. Stops at a gap, and after a
        snapshot that moves the state to another offset.
        """
        with self._lock:
            before = self._state
            if era != before.era:
                return False
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

    def install_snapshot(self, snapshot: SnapshotRecord, era: StoreEra) -> bool:
        """
        Install a snapshot if it is ahead; return whether it was.

        Of a snapshot of an earlier era, only the content counts. One of a later era
        moves the state to that era.
        """
        with self._lock:
            before = self._state
            if era > before.era:
                self._install_later_era(snapshot, era)
            else:
                adopt = adopt_snapshot if era == before.era else adopt_content
                self._state, outcome = adopt(before, snapshot)
                self._report(outcome)
                if outcome.kind is not OutcomeKind.SNAPSHOT_ADOPTED:
                    return False
                self._tail.clear()
                if era < before.era:
                    self._is_ahead_of_log = True
            advanced = self._state is not before
            self._activate()
        if self._state.era != before.era:
            self._notify_era_listeners()
        self._notify_update_listeners()
        return advanced

    def begin_era(self, era: StoreEra) -> bool:
        """Set the era of a state that has no record yet; return whether it has none."""
        with self._lock:
            if self._state.next_offset != 0:
                return False
            self._state = replace(self._state, era=era)
        self._notify_era_listeners()
        return True

    def follow_restored(self, restored: RestoredStream) -> None:
        """Continue at the end of a restored stream; keep what it has lost."""
        with self._lock:
            before, stated = self._state, restored.state
            if stated.era < before.era:
                return
            if stated.version > before.version:
                for data, outcome in restored.changes:
                    self.history.record(data, outcome)
            evacuated = restored.merge_evacuations(before)
            self._move(stated, evacuated)
            lost = (self._state.version, evacuated) != (
                stated.version,
                stated.configuration.evacuated,
            )
            self._is_ahead_of_log = lost
            log_event(
                "restored_stream_followed",
                era=stated.era,
                version=self._state.version,
                log_version=stated.version,
                next_offset=stated.next_offset,
                before_offset=before.next_offset,
                ahead_of_log=lost,
            )
            self._activate()
        self._notify_era_listeners()
        self._notify_update_listeners()

    def adopt_position(self, head: Head) -> bool:
        """
        Continue at the position of a peer that has the same state in a later era.

        Returns whether the state was the same.
        """
        with self._lock:
            state = self._state
            own = describe_head(state)
            if head.era <= state.era or (head.version, head.digest) != (
                own.version,
                own.digest,
            ):
                return False
            self._state = replace(state, next_offset=head.next_offset, era=head.era)
            self._tail.clear()
        self._notify_era_listeners()
        return True

    def _install_later_era(self, snapshot: SnapshotRecord, era: StoreEra) -> None:
        """Move to the position of a peer's snapshot, and to its state if not older."""
        restored, outcome = adopt_snapshot(replace(INITIAL_STATE, era=era), snapshot)
        if outcome.kind is not OutcomeKind.SNAPSHOT_ADOPTED:
            self._report(outcome)
            return
        evacuated = self._state.configuration.evacuated
        if restored.version >= self._state.version:
            evacuated = restored.configuration.evacuated
        self._move(restored, evacuated)
        self._is_ahead_of_log = self._state.version > restored.version

    def _move(self, restored: FoldState, evacuated: frozenset[FailureDomainId]) -> None:
        """Move the state to the position of a restored one."""
        self._state = follow_restored(self._state, restored, evacuated)
        self._tail.clear()

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
            self._is_ahead_of_log = False
            self._replace_tail(record)
            return True
        stale = outcome.kind is OutcomeKind.SNAPSHOT_STALE
        if stale and self._is_ahead_of_log:
            self._is_ahead_of_log = not self._is_logged(record)
        self._tail.append(LogRecord(record.offset, "") if stale else record)
        return True

    def _is_logged(self, record: LogRecord) -> bool:
        """Return whether a record is a snapshot of the current state."""
        snapshot = decode_snapshot(record.data)
        return snapshot is not None and snapshot.digest == self._state.digest

    def _replace_tail(self, record: LogRecord) -> None:
        """Restart the tail at a snapshot, which covers all earlier records."""
        self._tail.clear()
        self._tail.append(record)
        if len(record.data) > UNCOMPRESSED_SNAPSHOT_BYTES_MAX:
            self._snapshot_offset = record.offset

    def _activate(self) -> None:
        configuration = self._state.configuration
        before = self._holder.current.version
        if self._holder.replace(configuration):
            log_event(
                "configuration_in_force",
                version=configuration.version,
                evacuated=",".join(sorted(configuration.evacuated)),
                next_offset=self._state.next_offset,
                faults=len(configuration.faults),
            )
            if configuration.version == before:
                return
            for fault in configuration.faults:
                log_warning(
                    "configuration_entry_fault",
                    version=configuration.version,
                    kind=fault.kind,
                    name=fault.name,
                    option=fault.option,
                    given=fault.given,
                    accepted=fault.accepted,
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

    def _notify_era_listeners(self) -> None:
        for listener in self._era_listeners:
            listener(self._state.era)

    def _notify_snapshot_listeners(self, folded_to: Offset) -> None:
        for listener in self._snapshot_listeners:
            listener(folded_to)


def describe_head(state: FoldState) -> Head:
    """Return the head of a state."""
    digest = bytes.fromhex(state.digest)[:DIGEST_BYTES]
    version = Version(min(state.version, MAX_COUNTED_VERSION))
    return Head(state.next_offset, version, digest, state.era)


def decode_snapshot(text: str) -> SnapshotRecord | None:
    """Return the snapshot in a record, or None for any other record."""
    decoded = decode_record(text)
    if isinstance(decoded, Ok) and isinstance(decoded.ok_value, SnapshotRecord):
        return decoded.ok_value
    return None
