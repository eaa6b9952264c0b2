"""Fold the configuration stream deterministically, so that all daemons agree."""

from dataclasses import dataclass, replace
from enum import Enum

from result import Err

from corianderhold.ids import (
    FIRST_ERA,
    ChangeId,
    FailureDomainId,
    Offset,
    StoreEra,
    Version,
)
from corianderhold.state.configuration.codec import (
    DecodeError,
    DecodeFailure,
    decode_record,
)
from corianderhold.state.configuration.const import RECENT_CHANGES_MAX
from corianderhold.state.configuration.delta import apply_delta
from corianderhold.state.configuration.digest import (
    compute_digest,
    sum_content,
    update_content_sum,
    update_evacuations,
)
from corianderhold.state.configuration.faults import ValidationFault
from corianderhold.state.configuration.model import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from corianderhold.state.configuration.records import (
    ChangeRecord,
    EvacuationRecord,
    RecentChange,
    SnapshotRecord,
)


class OutcomeKind(Enum):
    """How the fold handled a record."""

    ACCEPTED = "accepted"
    EVACUATION_BEGUN = "evacuation_begun"
    EVACUATION_ENDED = "evacuation_ended"
    LOST_RACE = "lost_race"
    BASE_AHEAD = "base_ahead"
    REFUSED = "refused"
    DUPLICATE = "duplicate"
    SNAPSHOT_ADOPTED = "snapshot_adopted"
    SNAPSHOT_STALE = "snapshot_stale"
    SNAPSHOT_DIVERGED = "snapshot_diverged"
    CORRUPT = "corrupt"
    UNKNOWN_FORMAT = "unknown_format"
    ALREADY_FOLDED = "already_folded"
    AFTER_GAP = "after_gap"


@dataclass(frozen=True)
class FoldState:
    """
    The result of folding all records below `next_offset`.

    `recent_changes` holds the most recent changes in order, for deduplication;
    `content_sum` is the sum of the hashes of the configuration's entities. `era` is the
    era of the store that `next_offset` refers to.
    """

    configuration: Configuration = EMPTY_CONFIGURATION
    next_offset: Offset = Offset(0)
    recent_changes: tuple[RecentChange, ...] = ()
    content_sum: int = 0
    era: StoreEra = FIRST_ERA

    @property
    def version(self) -> Version:
        """Return the version of the configuration."""
        return self.configuration.version

    @property
    def digest(self) -> str:
        """Return the digest of the version and its content, the same on all daemons."""
        return compute_digest(self.configuration, self.content_sum)


@dataclass(frozen=True)
class FoldOutcome:
    """
    The outcome of folding one record.

    `version` is the version in force afterwards. `earlier` is the conflicting change
    that was accepted, or the original of a duplicate, if it is among the recent
    changes. `folded_to` is the offset of the last record that a snapshot includes.
    """

    kind: OutcomeKind
    offset: Offset
    version: Version
    change_id: ChangeId | None = None
    earlier: RecentChange | None = None
    faults: tuple[ValidationFault, ...] = ()
    detail: str = ""
    folded_to: Offset | None = None


INITIAL_STATE = FoldState()


def fold(state: FoldState, offset: Offset, data: str) -> tuple[FoldState, FoldOutcome]:
    """
    Return the state after the record at `offset` and the outcome of the record.

    A record beyond `next_offset` follows a gap, after which only a snapshot is
    accepted. Continue reading at `next_offset` of the new state: a snapshot may move
    it back to the first record that the snapshot does not include. Never raises,
    whatever `data` holds.
    """
    if offset < state.next_offset:
        return state, _report(state, offset, OutcomeKind.ALREADY_FOLDED)
    decoded = decode_record(data)
    if isinstance(decoded, Err):
        return _skip(state, offset, decoded.err_value)
    record = decoded.ok_value
    if isinstance(record, SnapshotRecord):
        return _fold_snapshot(state, offset, record)
    if offset > state.next_offset:
        outcome = _report(state, offset, OutcomeKind.AFTER_GAP)
        if isinstance(record, ChangeRecord):
            outcome = replace(outcome, change_id=record.change_id)
        return state, outcome
    if isinstance(record, EvacuationRecord):
        return _fold_evacuation(state, offset, record)
    return _fold_change(state, offset, record)


def adopt_snapshot(
    state: FoldState, snapshot: SnapshotRecord
) -> tuple[FoldState, FoldOutcome]:
    """
    Return the snapshot's state if it is ahead, otherwise `state`, and the outcome.

    A snapshot is ahead if it has a higher version, or the same version folded further.
    Any is ahead of a state without a configuration.
    It is corrupt if its digest does not match its content. It has diverged, and is
    ignored, if it has the same version but different content apart from the evacuated
    failure domains.
    """
    offset = snapshot.folded_to
    configuration = snapshot.configuration
    content_sum = sum_content(configuration)
    if compute_digest(configuration, content_sum) != snapshot.digest:
        detail = "the digest does not match the content"
        return state, _report(state, offset, OutcomeKind.CORRUPT, detail=detail)
    if snapshot.keeps_evacuations:
        evacuated = state.configuration.evacuated
        configuration = replace(configuration, evacuated=evacuated)
        content_sum = sum_content(configuration)
    version = configuration.version
    next_offset = Offset(snapshot.folded_to + 1)
    is_first = state.configuration.is_empty and not configuration.is_empty
    if not is_first and _is_diverged(state, configuration, content_sum):
        return state, _report(state, offset, OutcomeKind.SNAPSHOT_DIVERGED)
    if not is_first and (version, next_offset) <= (state.version, state.next_offset):
        return state, _report(state, offset, OutcomeKind.SNAPSHOT_STALE)
    detail = ""
    if next_offset < state.next_offset:
        detail = "repairs a divergence: higher version from fewer records"
    adopted = replace(
        state,
        configuration=configuration,
        next_offset=next_offset,
        recent_changes=snapshot.remembered,
        content_sum=content_sum,
    )
    outcome = _report(adopted, offset, OutcomeKind.SNAPSHOT_ADOPTED, detail=detail)
    return adopted, outcome


def adopt_content(
    state: FoldState, snapshot: SnapshotRecord
) -> tuple[FoldState, FoldOutcome]:
    """
    Return the state with the content of a newer snapshot, at its own position.

    Used for a snapshot whose offsets belong to another era of the store.
    """
    return adopt_snapshot(
        state, replace(snapshot, folded_to=Offset(state.next_offset - 1))
    )


def follow_restored(
    state: FoldState, restored: FoldState, evacuated: frozenset[FailureDomainId]
) -> FoldState:
    """
    Return the state continued at the position of `restored`, in a later era.

    `restored` is what the log holds after the store was restored from an older copy.
    Its version may be lower; what was in force stays in force.
    """
    newest = restored if restored.version > state.version else state
    moved = replace(newest, next_offset=restored.next_offset, era=restored.era)
    return _replace_evacuations(moved, evacuated)


def _is_diverged(
    state: FoldState, configuration: Configuration, content_sum: int
) -> bool:
    """Return whether the version matches but content other than evacuations differs."""
    if configuration.version != state.version or content_sum == state.content_sum:
        return False
    aligned = replace(configuration, evacuated=state.configuration.evacuated)
    return sum_content(aligned) != state.content_sum


def build_snapshot(state: FoldState) -> SnapshotRecord:
    """Return the snapshot of a state."""
    return SnapshotRecord(
        configuration=state.configuration,
        folded_to=Offset(state.next_offset - 1),
        digest=state.digest,
        remembered=state.recent_changes,
    )


def _report(
    state: FoldState, offset: Offset, kind: OutcomeKind, detail: str = ""
) -> FoldOutcome:
    return FoldOutcome(kind, offset, state.version, detail=detail)


def _advance(state: FoldState, offset: Offset) -> FoldState:
    """Return the state advanced past `offset`, or unchanged if it follows a gap."""
    if offset != state.next_offset:
        return state
    return replace(state, next_offset=Offset(offset + 1))


def _skip(
    state: FoldState, offset: Offset, error: DecodeError
) -> tuple[FoldState, FoldOutcome]:
    kind = OutcomeKind.CORRUPT
    if error.failure is DecodeFailure.UNKNOWN_FORMAT:
        kind = OutcomeKind.UNKNOWN_FORMAT
    return _advance(state, offset), _report(state, offset, kind, detail=error.detail)


def _fold_snapshot(
    state: FoldState, offset: Offset, snapshot: SnapshotRecord
) -> tuple[FoldState, FoldOutcome]:
    if snapshot.folded_to >= offset:
        detail = "the snapshot includes offsets at or after its own"
        outcome = _report(state, offset, OutcomeKind.CORRUPT, detail=detail)
        return _advance(state, offset), outcome
    adopted, outcome = adopt_snapshot(state, snapshot)
    if outcome.kind is OutcomeKind.SNAPSHOT_STALE:
        adopted = _adopt_evacuations(state, snapshot)
    # A snapshot that includes all records before it is itself the next record.
    outcome = replace(outcome, offset=offset, folded_to=snapshot.folded_to)
    return _advance(adopted, offset), outcome


def _adopt_evacuations(state: FoldState, snapshot: SnapshotRecord) -> FoldState:
    """
    Return the state with the evacuations of a snapshot of the same state in the log.

    Records that the log no longer retains may have ended some evacuations.
    """
    stated = snapshot.configuration
    same = (stated.version, snapshot.folded_to + 1) == (
        state.version,
        state.next_offset,
    )
    if not same or snapshot.keeps_evacuations:
        return state
    return _replace_evacuations(state, stated.evacuated)


def _replace_evacuations(
    state: FoldState, evacuated: frozenset[FailureDomainId]
) -> FoldState:
    before = state.configuration.evacuated
    return replace(
        state,
        configuration=replace(state.configuration, evacuated=evacuated),
        content_sum=update_evacuations(state.content_sum, before, evacuated),
    )


def _fold_evacuation(
    state: FoldState, offset: Offset, evacuation: EvacuationRecord
) -> tuple[FoldState, FoldOutcome]:
    evacuated = state.configuration.evacuated - {evacuation.domain}
    kind = OutcomeKind.EVACUATION_ENDED
    if evacuation.active:
        evacuated |= {evacuation.domain}
        kind = OutcomeKind.EVACUATION_BEGUN
    folded = _replace_evacuations(_advance(state, offset), evacuated)
    return folded, _report(folded, offset, kind, detail=evacuation.domain)


def _fold_change(
    state: FoldState, offset: Offset, change: ChangeRecord
) -> tuple[FoldState, FoldOutcome]:
    advanced = _advance(state, offset)
    outcome = FoldOutcome(
        OutcomeKind.ACCEPTED, offset, state.version, change_id=change.change_id
    )
    for earlier in state.recent_changes:
        if earlier.change_id == change.change_id:
            kind = OutcomeKind.DUPLICATE
            return advanced, replace(outcome, kind=kind, earlier=earlier)
    if change.base_version < state.version:
        accepted_change = _find_accepted_change(state, change.base_version)
        outcome = replace(outcome, kind=OutcomeKind.LOST_RACE, earlier=accepted_change)
        return _add_recent_change(advanced, change, None), outcome
    if change.base_version > state.version:
        outcome = replace(outcome, kind=OutcomeKind.BASE_AHEAD)
        return _add_recent_change(advanced, change, None), outcome
    applied = apply_delta(state.configuration, change.delta)
    if isinstance(applied, Err):
        kind = OutcomeKind.REFUSED
        outcome = replace(outcome, kind=kind, faults=applied.err_value)
        return _add_recent_change(advanced, change, None), outcome
    accepted = replace(
        advanced,
        configuration=applied.ok_value,
        content_sum=update_content_sum(
            state.content_sum, state.configuration, applied.ok_value, change.delta
        ),
    )
    outcome = replace(outcome, version=accepted.version)
    return _add_recent_change(accepted, change, accepted.version), outcome


def _find_accepted_change(
    state: FoldState, base_version: Version
) -> RecentChange | None:
    for change in reversed(state.recent_changes):
        if change.version == base_version + 1:
            return change
    return None


def _add_recent_change(
    state: FoldState, change: ChangeRecord, version: Version | None
) -> FoldState:
    entry = RecentChange(change.change_id, version, change.author)
    remembered = (*state.recent_changes, entry)[-RECENT_CHANGES_MAX:]
    return replace(state, recent_changes=remembered)
