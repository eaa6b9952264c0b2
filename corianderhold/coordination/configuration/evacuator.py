"""Start and end the evacuation of failure domains on behalf of operators."""

import time
from collections.abc import Callable, Mapping
from enum import Enum

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    LOG_APPEND_TIMEOUT_S,
    PUBLISH_RETRY_PAUSE_S,
)
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.ids import FailureDomainId
from corianderhold.log import log_event
from corianderhold.protocol.store.model import AppendFailure, AppendOnlyLog, StreamName
from corianderhold.state.configuration.codec import encode_evacuation
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import EvacuationRecord

Sleep = Callable[[float], None]


class EvacuationOutcome(Enum):
    """Known outcome of an evacuation order."""

    IN_FORCE = "in_force"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # it may be in the log, or may still be appended


class Evacuator:
    """
    Append evacuation orders to the log and wait until this daemon has applied them.

    Orders are idempotent. A delayed append takes effect when it reaches the log and
    overrides the orders before it.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        log: AppendOnlyLog,
        clock: Clock,
        sleep: Sleep = time.sleep,
    ) -> None:
        self._follower = follower
        self._log = log
        self._clock = clock
        self._sleep = sleep

    def order(
        self, domain: FailureDomainId, active: bool, author: str, timeout_s: float
    ) -> EvacuationOutcome:
        """Start the evacuation of a domain, or end it if `active` is false."""
        outcome = self._append(EvacuationRecord(domain, active), timeout_s)
        log_event(
            "evacuation_ordered",
            domain=domain,
            active=active,
            author=author,
            outcome=outcome,
        )
        return outcome

    def _append(
        self, evacuation: EvacuationRecord, timeout_s: float
    ) -> EvacuationOutcome:
        if StreamName.CONFIGURATION in self._log.read_only:
            return EvacuationOutcome.REFUSED
        deadline = self._clock.read_monotonic() + timeout_s
        if not self._follower.await_repaired_log(deadline, self._sleep):
            return EvacuationOutcome.REFUSED
        era = self._follower.replica.head.era
        appended = self._log.append(
            StreamName.CONFIGURATION,
            encode_evacuation(evacuation),
            min(timeout_s, LOG_APPEND_TIMEOUT_S),
        )
        if isinstance(appended, Err):
            if appended.err_value is AppendFailure.NOT_APPENDED:
                return EvacuationOutcome.REFUSED
            return EvacuationOutcome.UNKNOWN
        while self._follower.replica.head.next_offset <= appended.ok_value:
            if self._clock.read_monotonic() >= deadline:
                return EvacuationOutcome.UNKNOWN
            self._follower.read_log()
            self._sleep(PUBLISH_RETRY_PAUSE_S)
        if self._follower.replica.head.era != era:
            return EvacuationOutcome.UNKNOWN
        return EvacuationOutcome.IN_FORCE


class EvacuationTracker:
    """Record since when this daemon has known of each evacuation."""

    def __init__(self, holder: ConfigurationHolder, clock: Clock) -> None:
        self._clock = clock
        self._since: Mapping[FailureDomainId, float] = {}
        holder.add_listener(self._update)

    def list_evacuations(self) -> Mapping[FailureDomainId, float]:
        """Return the evacuated domains and the Unix time at which each became known."""
        return self._since

    def _update(self, configuration: Configuration) -> None:
        now = self._clock.read_wall()
        known = self._since
        self._since = {
            domain: known.get(domain, now) for domain in configuration.evacuated
        }
