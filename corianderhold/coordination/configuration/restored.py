"""Fold the stream anew after the store was restored from an older copy."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Ok

from corianderhold.ids import FailureDomainId, Offset, StoreEra
from corianderhold.protocol.store.model import LogPage, LogRecord
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldOutcome,
    FoldState,
    fold,
)
from corianderhold.state.configuration.records import (
    EvacuationRecord,
    SnapshotRecord,
)

FindRecord = Callable[[Offset], LogRecord | None]


@dataclass(frozen=True)
class RestoredStream:
    """
    What the log holds after a restore.

    `state` is the fold of its records. `decided` holds the failure domains whose
    evacuation is stated by a record that was not known before, None for all domains.
    `changes` are the records folded, with their outcomes.
    """

    state: FoldState
    decided: frozenset[FailureDomainId] | None
    changes: tuple[tuple[str, FoldOutcome], ...]

    def merge_evacuations(self, known: FoldState) -> frozenset[FailureDomainId]:
        """
        Return the evacuated domains, given the state known before the restore.

        An evacuation that the restore lost stays until a new record ends it.
        """
        stated = self.state.configuration.evacuated
        if self.decided is None:
            return stated
        return stated | (known.configuration.evacuated - self.decided)


class RestoredFold:
    """
    Fold the pages of a restored stream from its oldest record on.

    `known` is the state before the restore, and `find_record` returns the records that
    led to it, as far as they are still kept.
    """

    def __init__(
        self, known: FoldState, find_record: FindRecord, era: StoreEra
    ) -> None:
        self._known = known
        self._find_record = find_record
        self._state = replace(INITIAL_STATE, era=era)
        self._decided: set[FailureDomainId] | None = set()
        self._changes: list[tuple[str, FoldOutcome]] = []
        self._end = Offset(0)

    def fold_page(self, page: LogPage) -> None:
        """Fold the next page."""
        self._end = page.next_offset
        for record in page.records:
            self._fold_record(record)

    def build(self) -> RestoredStream:
        """Return the result; a part of the stream that can't be folded is skipped."""
        decided = None if self._decided is None else frozenset(self._decided)
        state = replace(self._state, next_offset=self._end)
        return RestoredStream(state, decided, tuple(self._changes))

    def _fold_record(self, record: LogRecord) -> None:
        if record.data:
            self._state, outcome = fold(self._state, record.offset, record.data)
            self._changes.append((record.data, outcome))
            self._record_evacuations(record)
        if record.offset == self._state.next_offset:
            following = Offset(record.offset + 1)
            self._state = replace(self._state, next_offset=following)

    def _record_evacuations(self, record: LogRecord) -> None:
        """Record which domains a record decides on if it was not known before."""
        decoded = decode_record(record.data)
        if not isinstance(decoded, Ok) or self._was_known(record):
            return
        content = decoded.ok_value
        if isinstance(content, SnapshotRecord) and not content.keeps_evacuations:
            self._decided = None
        elif isinstance(content, EvacuationRecord) and self._decided is not None:
            self._decided.add(content.domain)

    def _was_known(self, record: LogRecord) -> bool:
        if record.offset >= self._known.next_offset:
            return False
        known = self._find_record(record.offset)
        return known is None or known.data == record.data
