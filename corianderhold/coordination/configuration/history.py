"""Keep an audit trail of the changes that this daemon has applied."""

import threading
from collections import deque
from dataclasses import dataclass

from result import Ok

from corianderhold.coordination.configuration.const import (
    HISTORY_BYTES_MAX,
    HISTORY_ENTRIES_MAX,
)
from corianderhold.ids import ChangeId
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.fold import FoldOutcome, OutcomeKind
from corianderhold.state.configuration.records import ChangeRecord

DECISIVE_OUTCOMES = frozenset(
    {
        OutcomeKind.ACCEPTED,
        OutcomeKind.LOST_RACE,
        OutcomeKind.BASE_AHEAD,
        OutcomeKind.REFUSED,
    }
)


@dataclass(frozen=True)
class HistoryEntry:
    """A change of the stream and its outcome."""

    change: ChangeRecord
    outcome: FoldOutcome


class History:
    """Keep the newest changes, accepted or refused, bounded by number and size."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: deque[HistoryEntry] = deque()
        self._sizes: deque[int] = deque()
        self._bytes = 0

    def record(self, data: str, outcome: FoldOutcome) -> None:
        """Record the outcome of a change; ignore repeats and other records."""
        if outcome.kind not in DECISIVE_OUTCOMES:
            return
        decoded = decode_record(data)
        if isinstance(decoded, Ok) and isinstance(decoded.ok_value, ChangeRecord):
            self._append(HistoryEntry(decoded.ok_value, outcome), len(data))

    def _append(self, entry: HistoryEntry, size: int) -> None:
        """Add an entry and evict the oldest ones beyond the limits, never this one."""
        with self._lock:
            self._entries.append(entry)
            self._sizes.append(size)
            self._bytes += size
            while len(self._entries) > 1 and self._is_full():
                self._entries.popleft()
                self._bytes -= self._sizes.popleft()

    def _is_full(self) -> bool:
        return (
            len(self._entries) > HISTORY_ENTRIES_MAX or self._bytes > HISTORY_BYTES_MAX
        )

    def find(self, change_id: ChangeId) -> HistoryEntry | None:
        """Return the entry of a change, or None if it is not in the history."""
        for entry in reversed(self.list_entries()):
            if entry.change.change_id == change_id:
                return entry
        return None

    def list_entries(self) -> tuple[HistoryEntry, ...]:
        """Return the kept entries, oldest first."""
        with self._lock:
            return tuple(self._entries)
