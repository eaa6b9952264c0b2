"""Fold the configuration stream, with the same result on every daemon."""

from dataclasses import dataclass, replace
from enum import Enum

from result import Err

from corianderhold.ids import ChangeId, FailureDomainId, Offset, Version
from corianderhold.state.configuration.codec import (
    DecodeError,
    DecodeFailure,
    decode_record,
)
from corianderhold.state.configuration.const import REMEMBERED_CHANGES
from corianderhold.state.configuration.delta import apply_delta
from corianderhold.state.configuration.digest import (
    compute_digest,
    sum_content,
    update_evacuations,
    update_sum,
)
from corianderhold.state.configuration.model import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from corianderhold.state.configuration.records import (
    ChangeRecord,
    EvacuationRecord,
    Fault,
    RememberedChange,
    SnapshotRecord,
)


class OutcomeKind(Enum):
    """What the fold did with a record."""

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
    The result of all records below `next_offset`.

    `remembered` holds the newest changes, the last one newest; `content_sum` is the
    sum of the hashes of the configuration's entities.
    """

    configuration: Configuration = EMPTY_CONFIGURATION
    next_offset: Offset = Offset(0)
    remembered: tuple[RememberedChange, ...] = ()
    content_sum: int = 0

    @property
    def version(self) -> Version:
        """Return the version of the configuration."""
        return self.configuration.version

    @property
    def digest(self) -> str:
        """Return the digest of the version and its content, equal on all daemons."""
        return compute_digest(self.configuration, self.content_sum)


@dataclass(frozen=True)
class FoldOutcome:
    """
    What became of one record.

    `version` is the version in force afterwards. `earlier` is the change that won
    the race, or the first record of a duplicate, where it is still remembered.
    `folded_to` is the last record that a snapshot holds.
    """

    kind: OutcomeKind
    offset: Offset
    version: Version
    change_id: ChangeId | None = None
    earlier: RememberedChange | None = None
    faults: tuple[Fault, ...] = ()
    detail: str = ""
    folded_to: Offset | None = None


INITIAL_STATE = FoldState()


def fold(state: FoldState, offset: Offset, data: str) -> tuple[FoldState, FoldOutcome]:
    """
    Return the state after the record at `offset`, and what became of the record.

    A record beyond `next_offset` follows a gap: only a snapshot is taken from there.
    Read on from the new state's `next_offset`, which a snapshot may set back to the
    first record that it does not hold. Never raises for any `data`.
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
    Return the snapshot's state where it is ahead, or `state`, and what was done.

    Ahead is a higher version, or the same version folded further. A snapshot whose
    digest does not fit its content is corrupt; one of the same version with another
    content, apart from the evacuated domains, is diverged and left alone.
    """
    offset = snapshot.folded_to
    configuration = snapshot.configuration
    content_sum = sum_content(configuration)
    if compute_digest(configuration, content_sum) != snapshot.digest:
        detail = "the digest does not fit the content"
        return state, _report(state, offset, OutcomeKind.CORRUPT, detail=detail)
    if snapshot.keeps_evacuations:
        evacuated = state.configuration.evacuated
        configuration = replace(configuration, evacuated=evacuated)
        content_sum = sum_content(configuration)
    version = configuration.version
    next_offset = Offset(snapshot.folded_to + 1)
    if _is_diverged(state, configuration, content_sum):
        return state, _report(state, offset, OutcomeKind.SNAPSHOT_DIVERGED)
    if (version, next_offset) <= (state.version, state.next_offset):
        return state, _report(state, offset, OutcomeKind.SNAPSHOT_STALE)
    detail = ""
    if next_offset < state.next_offset:
        detail = "repairs a divergence: a higher version from fewer records"
    adopted = FoldState(configuration, next_offset, snapshot.remembered, content_sum)
    outcome = _report(adopted, offset, OutcomeKind.SNAPSHOT_ADOPTED, detail=detail)
    return adopted, outcome


def _is_diverged(
    state: FoldState, configuration: Configuration, content_sum: int
) -> bool:
    """Return whether two states of one version differ in more than evacuations."""
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
        remembered=state.remembered,
    )


def _report(
    state: FoldState, offset: Offset, kind: OutcomeKind, detail: str = ""
) -> FoldOutcome:
    return FoldOutcome(kind, offset, state.version, detail=detail)


def _advance(state: FoldState, offset: Offset) -> FoldState:
    """Return the state with the record at `offset` folded, unless it is in a gap."""
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
        detail = "the snapshot claims records after its own"
        outcome = _report(state, offset, OutcomeKind.CORRUPT, detail=detail)
        return _advance(state, offset), outcome
    adopted, outcome = adopt_snapshot(state, snapshot)
    if outcome.kind is OutcomeKind.SNAPSHOT_STALE:
        adopted = _correct_evacuations(state, snapshot)
    # The next record of a snapshot of all before it is the snapshot itself.
    outcome = replace(outcome, offset=offset, folded_to=snapshot.folded_to)
    return _advance(adopted, offset), outcome


def _correct_evacuations(state: FoldState, snapshot: SnapshotRecord) -> FoldState:
    """
    Return the state with the evacuations that the log's snapshot of it states.

    Records that are gone from the log may have ended some.
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
    for earlier in state.remembered:
        if earlier.change_id == change.change_id:
            kind = OutcomeKind.DUPLICATE
            return advanced, replace(outcome, kind=kind, earlier=earlier)
    if change.base_version < state.version:
        winner = _find_winner(state, change.base_version)
        outcome = replace(outcome, kind=OutcomeKind.LOST_RACE, earlier=winner)
        return _remember(advanced, change, None), outcome
    if change.base_version > state.version:
        outcome = replace(outcome, kind=OutcomeKind.BASE_AHEAD)
        return _remember(advanced, change, None), outcome
    applied = apply_delta(state.configuration, change.delta)
    if isinstance(applied, Err):
        kind = OutcomeKind.REFUSED
        outcome = replace(outcome, kind=kind, faults=applied.err_value)
        return _remember(advanced, change, None), outcome
    accepted = replace(
        advanced,
        configuration=applied.ok_value,
        content_sum=update_sum(
            state.content_sum, state.configuration, applied.ok_value, change.delta
        ),
    )
    outcome = replace(outcome, version=accepted.version)
    return _remember(accepted, change, accepted.version), outcome


def _find_winner(state: FoldState, base_version: Version) -> RememberedChange | None:
    for change in reversed(state.remembered):
        if change.version == base_version + 1:
            return change
    return None


def _remember(
    state: FoldState, change: ChangeRecord, version: Version | None
) -> FoldState:
    entry = RememberedChange(change.change_id, version, change.author)
    remembered = (*state.remembered, entry)[-REMEMBERED_CHANGES:]
    return replace(state, remembered=remembered)
