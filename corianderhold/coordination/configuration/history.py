"""Keep the audit trail of the changes that this daemon has folded."""

import threading
from collections import deque
from dataclasses import dataclass

from result import Ok

from corianderhold.coordination.configuration.const import HISTORY_ENTRIES_MAX
from corianderhold.ids import ChangeId
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.fold import FoldOutcome, OutcomeKind
from corianderhold.state.configuration.records import ChangeRecord

DECIDED = frozenset(
    {
        OutcomeKind.ACCEPTED,
        OutcomeKind.LOST_RACE,
        OutcomeKind.BASE_AHEAD,
        OutcomeKind.REFUSED,
    }
)


@dataclass(frozen=True)
class HistoryEntry:
    """One change of the stream and what the fold did with it."""

    change: ChangeRecord
    outcome: FoldOutcome


class History:
    """Hold the newest changes that were accepted or refused."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: deque[HistoryEntry] = deque(maxlen=HISTORY_ENTRIES_MAX)

    def record(self, data: str, outcome: FoldOutcome) -> None:
        """Note a folded record when it is a change seen for the first time."""
        if outcome.kind not in DECIDED:
            return
        decoded = decode_record(data)
        if isinstance(decoded, Ok) and isinstance(decoded.ok_value, ChangeRecord):
            with self._lock:
                self._entries.append(HistoryEntry(decoded.ok_value, outcome))

    def find(self, change_id: ChangeId) -> HistoryEntry | None:
        """Return the entry of a change, None when this daemon has not folded it."""
        for entry in reversed(self.list_entries()):
            if entry.change.change_id == change_id:
                return entry
        return None

    def list_entries(self) -> tuple[HistoryEntry, ...]:
        """Return the entries kept, oldest first."""
        with self._lock:
            return tuple(self._entries)
