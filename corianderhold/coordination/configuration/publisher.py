"""Publish configuration changes and determine their outcome."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    HISTORY_ENTRIES_MAX,
    LOG_APPEND_TIMEOUT_S,
    PUBLISH_RETRY_PAUSE_S,
)
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.coordination.configuration.history import HistoryEntry
from corianderhold.coordination.configuration.reader import ReadOutcome
from corianderhold.ids import ChangeId, Offset, Version
from corianderhold.log import log_event
from corianderhold.protocol.store.model import AppendFailure, AppendOnlyLog, StreamName
from corianderhold.state.configuration.codec import encode_change
from corianderhold.state.configuration.faults import ValidationFault
from corianderhold.state.configuration.fold import FoldOutcome, OutcomeKind, fold
from corianderhold.state.configuration.records import ChangeRecord, RecentChange

Sleep = Callable[[float], None]


class PublishOutcome(Enum):
    """Known outcome of a change."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # it may be in the log, or may still be appended


class RefusalReason(Enum):
    """Why a change was refused."""

    LOST_RACE = "lost_race"
    BASE_AHEAD = "base_ahead"
    INVALID = "invalid"
    CHANGE_ID_USED = "change_id_used"
    NOT_APPENDED = "not_appended"
    NOT_REMEMBERED = "not_remembered"
    READ_ONLY = "read_only"


REFUSAL_REASONS = {
    OutcomeKind.LOST_RACE: RefusalReason.LOST_RACE,
    OutcomeKind.BASE_AHEAD: RefusalReason.BASE_AHEAD,
    OutcomeKind.REFUSED: RefusalReason.INVALID,
    OutcomeKind.CORRUPT: RefusalReason.INVALID,
}


@dataclass(frozen=True)
class PublishResult:
    """
    Result of a published change.

    `version` is the version that the change created. `lost_to` is the conflicting
    change that was accepted first, if it is still remembered, and `current_version` is
    the version to rebase on.
    """

    outcome: PublishOutcome
    change_id: ChangeId
    current_version: Version
    version: Version | None = None
    reason: RefusalReason | None = None
    lost_to: RecentChange | None = None
    faults: tuple[ValidationFault, ...] = ()
    detail: str = ""


class Publisher:
    """
    Append changes to the log and read back whether they were accepted.

    The change id is an idempotency key: an append that is repeated or delayed has no
    further effect.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        log: AppendOnlyLog,
        clock: Clock,
        sleep: Sleep = time.sleep,
    ) -> None:
        self._follower = follower
        self._replica = follower.replica
        self._log = log
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._refusals: OrderedDict[ChangeId, PublishResult] = OrderedDict()

    def publish(self, change: ChangeRecord, timeout_s: float) -> PublishResult:
        """Publish a change and wait up to `timeout_s` seconds for its outcome."""
        deadline = self._clock.read_monotonic() + timeout_s
        published = self._refuse_read_only(change)
        if published is None:
            self._follower.read_log()
            published = self._check(change)
        if published is None and not self._follower.await_repaired_log(
            deadline, self._sleep
        ):
            published = self._build_unconfirmed(change, in_doubt=False)
        if published is None:
            published = self._check(change) or self._append(change, deadline)
        self._remember_refusal(published)
        log_event(
            "change_published",
            change=change.change_id,
            author=change.author,
            outcome=published.outcome,
            reason=published.reason,
            version=published.version,
        )
        return published

    def find_result(self, change_id: ChangeId) -> PublishResult | None:
        """Return the result of a change, or None if it is unknown to this daemon."""
        entry = self._replica.history.find(change_id)
        if entry is not None:
            return self._build_result(change_id, entry.outcome)
        remembered = self._replica.find_change(change_id)
        if remembered is None:
            return None
        current = self._replica.state.version
        if remembered.version is None:
            reason = RefusalReason.NOT_REMEMBERED
            return PublishResult(
                PublishOutcome.REFUSED, change_id, current, reason=reason
            )
        return PublishResult(
            PublishOutcome.ACCEPTED, change_id, current, remembered.version
        )

    def resolve(self, change_id: ChangeId) -> PublishResult:
        """
        Read the log and return the result of a change.

        Changes refused before an append are known only to the daemon that refused them.
        """
        self._follower.read_log()
        known = self.find_result(change_id)
        if known is not None:
            return known
        with self._lock:
            refused = self._refusals.get(change_id)
        current = self._replica.state.version
        return refused or PublishResult(PublishOutcome.UNKNOWN, change_id, current)

    def _remember_refusal(self, published: PublishResult) -> None:
        """Store a refusal; a new publication of the same id replaces it."""
        with self._lock:
            self._refusals.pop(published.change_id, None)
            if published.outcome is PublishOutcome.REFUSED:
                self._refusals[published.change_id] = published
            if len(self._refusals) > HISTORY_ENTRIES_MAX:
                self._refusals.popitem(last=False)

    def _refuse_read_only(self, change: ChangeRecord) -> PublishResult | None:
        """Refuse the change if the stream is written by the operator's own tool."""
        if StreamName.CONFIGURATION not in self._log.read_only:
            return None
        return PublishResult(
            PublishOutcome.REFUSED,
            change.change_id,
            self._replica.state.version,
            reason=RefusalReason.READ_ONLY,
            detail="this deployment's configuration is written to the log directly",
        )

    def _check(self, change: ChangeRecord) -> PublishResult | None:
        """Return the result if it is certain without an append, or None."""
        entry = self._replica.history.find(change.change_id)
        if entry is not None and not is_repeat(entry, change):
            return PublishResult(
                PublishOutcome.REFUSED,
                change.change_id,
                self._replica.state.version,
                reason=RefusalReason.CHANGE_ID_USED,
            )
        known = self.find_result(change.change_id)
        if known is not None:
            return known
        state = self._replica.state
        _, outcome = fold(state, state.next_offset, encode_change(change))
        if outcome.kind in (OutcomeKind.ACCEPTED, OutcomeKind.BASE_AHEAD):
            # A base ahead of the local view may be accepted after the log is read.
            return None
        return self._build_result(change.change_id, outcome)

    def _append(self, change: ChangeRecord, deadline: float) -> PublishResult:
        """Retry the append until the outcome is read back or the deadline passes."""
        text = encode_change(change)
        in_doubt = False
        while True:
            left_s = deadline - self._clock.read_monotonic()
            appended = self._log.append(
                StreamName.CONFIGURATION,
                text,
                max(PUBLISH_RETRY_PAUSE_S, min(LOG_APPEND_TIMEOUT_S, left_s)),
            )
            in_doubt = in_doubt or appended != Err(AppendFailure.NOT_APPENDED)
            if isinstance(appended, Ok):
                return self._await_offset(change, appended.ok_value, deadline)
            self._follower.read_log()
            known = self.find_result(change.change_id)
            if known is not None:
                return known
            if self._clock.read_monotonic() >= deadline:
                return self._build_unconfirmed(change, in_doubt)
            self._sleep(PUBLISH_RETRY_PAUSE_S)

    def _await_offset(
        self, change: ChangeRecord, offset: Offset, deadline: float
    ) -> PublishResult:
        """Read the log until the record is applied or the deadline passes."""
        while True:
            outcome = self._follower.read_log()
            known = self.find_result(change.change_id)
            if known is not None:
                return known
            folded = self._replica.head.next_offset > offset
            if folded and outcome is ReadOutcome.COMPLETE:
                break
            if self._clock.read_monotonic() >= deadline:
                break
            self._sleep(PUBLISH_RETRY_PAUSE_S)
        return self._build_unconfirmed(change, in_doubt=True)

    def _build_unconfirmed(self, change: ChangeRecord, in_doubt: bool) -> PublishResult:
        current = self._replica.state.version
        if in_doubt:
            return PublishResult(PublishOutcome.UNKNOWN, change.change_id, current)
        reason = RefusalReason.NOT_APPENDED
        return PublishResult(
            PublishOutcome.REFUSED, change.change_id, current, reason=reason
        )

    def _build_result(self, change_id: ChangeId, outcome: FoldOutcome) -> PublishResult:
        current = self._replica.state.version
        if outcome.kind is OutcomeKind.ACCEPTED:
            return PublishResult(
                PublishOutcome.ACCEPTED, change_id, current, outcome.version
            )
        return PublishResult(
            PublishOutcome.REFUSED,
            change_id,
            current,
            reason=REFUSAL_REASONS[outcome.kind],
            lost_to=outcome.earlier,
            faults=outcome.faults,
            detail=outcome.detail,
        )


def is_repeat(entry: HistoryEntry, change: ChangeRecord) -> bool:
    """Return whether a change has the same content as a history entry."""
    known = entry.change
    return (known.base_version, known.delta) == (change.base_version, change.delta)
