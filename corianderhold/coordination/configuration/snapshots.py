"""Append a snapshot to the log well before the previous one expires."""

import threading

from result import Ok

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    LOG_APPEND_TIMEOUT_S,
    RESTORED_RANK_DELAY_S,
    RESTORED_RETRY_S,
    SNAPSHOT_AGE_SHARE,
    SNAPSHOT_INTERVAL_RECORDS,
    SNAPSHOT_RANK_DELAY_S,
    SNAPSHOT_RETRY_S,
    SNAPSHOT_VIEW_AGE_LIMIT_S,
)
from corianderhold.coordination.configuration.peers import PeerSelector
from corianderhold.coordination.configuration.replica import Replica
from corianderhold.ids import Offset
from corianderhold.log import log_event
from corianderhold.protocol.configuration.messages import SnapshotMark
from corianderhold.protocol.store.model import AppendOnlyLog, StreamName
from corianderhold.state.configuration.codec import encode_snapshot
from corianderhold.state.configuration.fold import build_snapshot
from corianderhold.state.configuration.holder import ConfigurationHolder

NO_SNAPSHOT = Offset(-1)


class SnapshotWriter:
    """
    Track the newest snapshot in the log and append the next one when it is due.

    Each daemon waits in proportion to its rank, so that usually only the first one
    writes. `retention_s` is how long the log keeps a record, in seconds. Nothing is
    appended to a read-only stream.
    """

    def __init__(
        self,
        replica: Replica,
        peers: PeerSelector,
        log: AppendOnlyLog,
        holder: ConfigurationHolder,
        clock: Clock,
        retention_s: float,
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._log = log
        self._holder = holder
        self._clock = clock
        self._age_limit_s = retention_s * SNAPSHOT_AGE_SHARE
        self._lock = threading.Lock()
        self._folded_to = NO_SNAPSHOT
        self._seen_at = clock.read_monotonic()
        self._first_offset = Offset(0)
        self._due_since: float | None = None
        self._retry_at = float("-inf")
        replica.add_snapshot_listener(self.record_snapshot)

    def read_mark(self) -> SnapshotMark | None:
        """Return the newest snapshot known to be in the log, with its age."""
        with self._lock:
            if self._folded_to == NO_SNAPSHOT:
                return None
            age_s = self._clock.read_monotonic() - self._seen_at
            return SnapshotMark(self._folded_to, int(age_s))

    def merge_mark(self, mark: SnapshotMark) -> None:
        """Merge a peer's mark: the newer snapshot wins, then the greater age."""
        seen_at = self._clock.read_monotonic() - mark.age_s
        with self._lock:
            if mark.folded_to > self._folded_to:
                self._set_mark(mark.folded_to, seen_at)
            elif mark.folded_to == self._folded_to:
                self._seen_at = min(self._seen_at, seen_at)

    def record_snapshot(self, folded_to: Offset) -> None:
        """Record the last offset covered by a valid snapshot read from the log."""
        with self._lock:
            if folded_to > self._folded_to:
                self._set_mark(folded_to, self._clock.read_monotonic())

    def record_first_offset(self, first_offset: Offset) -> None:
        """Record the oldest offset that the log retains."""
        with self._lock:
            self._first_offset = max(self._first_offset, first_offset)

    def begin_era(self) -> None:
        """Forget what is known of the log's snapshots after a restore of the store."""
        with self._lock:
            self._first_offset = Offset(0)
            self._set_mark(NO_SNAPSHOT, self._clock.read_monotonic())
        self._retry_at = float("-inf")

    def append_if_due(self) -> None:
        """Append a snapshot if one is due and the rank delay has passed."""
        now = self._clock.read_monotonic()
        if not self._is_due(now):
            self._due_since = None
            return
        if self._due_since is None:
            self._due_since = now
        view_age_s = now - self._holder.verified_at
        if now < self._retry_at or view_age_s > SNAPSHOT_VIEW_AGE_LIMIT_S:
            return
        rank = self._peers.compute_own_rank(f"snapshot/{self._folded_to}")
        rank_delay_s, retry_s = SNAPSHOT_RANK_DELAY_S, SNAPSHOT_RETRY_S
        if self._replica.is_ahead_of_log:
            rank_delay_s, retry_s = RESTORED_RANK_DELAY_S, RESTORED_RETRY_S
        if now - self._due_since >= rank * rank_delay_s:
            self._retry_at = now + retry_s
            self._append()

    def _set_mark(self, folded_to: Offset, seen_at: float) -> None:
        self._folded_to = folded_to
        self._seen_at = seen_at
        self._due_since = None

    def _is_due(self, now: float) -> bool:
        if StreamName.CONFIGURATION in self._log.read_only:
            return False
        state = self._replica.state
        with self._lock:
            continued_at = self._folded_to + 1
            if state.configuration.is_empty:
                return False
            return (
                self._replica.is_ahead_of_log
                or state.next_offset - continued_at >= SNAPSHOT_INTERVAL_RECORDS
                or now - self._seen_at >= self._age_limit_s
                or continued_at < self._first_offset
            )

    def _append(self) -> None:
        state = self._replica.state
        text = encode_snapshot(build_snapshot(state))
        outcome = self._log.append(StreamName.CONFIGURATION, text, LOG_APPEND_TIMEOUT_S)
        if isinstance(outcome, Ok):
            self._replica.mark_logged(state)
        log_event(
            "snapshot_appended",
            version=state.version,
            next_offset=state.next_offset,
            bytes=len(text),
            outcome="ok" if isinstance(outcome, Ok) else outcome.err_value,
        )
