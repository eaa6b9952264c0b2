"""Keep calls that crash their target from running again."""

import os
import threading
from typing import Protocol

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, RequestBody
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.quarantine.const import (
    CLEARED_LIFETIME_S,
    TRIAL_DELAY_S,
    TRIAL_RETRY_AFTER_MS,
)
from corianderhold.coordination.quarantine.crashes import (
    CrashDetector,
    TargetStart,
    identify,
)
from corianderhold.coordination.quarantine.hints import (
    compute_fingerprint,
    refuse_quarantined,
)
from corianderhold.coordination.quarantine.successes import RecentSuccesses
from corianderhold.coordination.quarantine.trial import Trial, TrialSlots
from corianderhold.ids import CrashId, Fingerprint, ServiceName
from corianderhold.log import log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.membership.target import TargetStatus
from corianderhold.state.quarantine.const import CRASH_ID_BYTES, SUSPECTS_MAX
from corianderhold.state.quarantine.fingerprint import Fingerprinter
from corianderhold.state.quarantine.model import CrashReport, Suspicion
from corianderhold.state.quarantine.table import QuarantineTable


class CrashNotifier(Protocol):
    """Tell the other owners of a service what this owner has seen."""

    def report_crash(self, report: CrashReport) -> None:
        """Add a crash to the table and send it to the other owners."""

    def clear(self, fingerprint: Fingerprint, service: ServiceName) -> None:
        """Clear a call and tell the other owners."""

    def is_tester(self, fingerprint: Fingerprint, service: ServiceName) -> bool:
        """Return whether this owner runs the trials of a call."""


class CallScreen:
    """
    Screen the calls of an owner by the crashes that equal calls were in flight at.

    A suspect runs only in a trial. The calls that are in flight at a crash become
    suspects, but for those that the target has answered lately, if there are others. If
    some of them ran in a trial, the crash is attributed to these alone.
    """

    def __init__(
        self,
        table: QuarantineTable,
        fingerprinter: Fingerprinter,
        notifier: CrashNotifier,
        detector: CrashDetector,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.detector = detector
        self._table = table
        self._fingerprinter = fingerprinter
        self._notifier = notifier
        self._clock = clock
        self._metrics = metrics
        self._slots = TrialSlots(clock)
        self._successes = RecentSuccesses(clock)
        self._lock = threading.Lock()
        self._reported: TargetStart | None = None

    def admit(
        self, context: CallContext, body: RequestBody
    ) -> Result[Trial | None, Refusal]:
        """Return the trial that a suspect runs in, None for any other call."""
        if not self._table.is_active and not context.in_trial:
            return Ok(None)
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        suspicion = self._table.find(fingerprint)
        if suspicion is Suspicion.QUARANTINED:
            return Err(refuse_quarantined(self._table.find_left_s(fingerprint)))
        if suspicion is Suspicion.NONE and not self._is_news(context, fingerprint):
            return Ok(None)
        service = ServiceName(context.service)
        if not context.in_trial and not self._notifier.is_tester(fingerprint, service):
            detail = "an equal request was in flight when a target crashed"
            return Err(
                refuse_not_run(Reason.TRIAL_REQUIRED, TRIAL_RETRY_AFTER_MS, detail)
            )
        return self._begin_trial(context, fingerprint)

    def explain_failure(
        self,
        call: InFlightCall,
        target: TargetStatus,
        calls: InFlightCalls,
        refusal: Refusal,
    ) -> Refusal:
        """Return the refusal of a call that was sent and got no response."""
        if refusal.reason is not Reason.ANSWER_TRUNCATED or call.cancelled:
            return refusal
        if not self.detector.has_crashed(target):
            return refusal
        self._report(target, calls)
        fingerprint = self._compute(call)
        suspicion = self._table.find(fingerprint)
        if suspicion is Suspicion.QUARANTINED:
            return refuse_may_have_run(Reason.QUARANTINED, "the target crashed")
        if suspicion is Suspicion.SUSPECT:
            return refuse_may_have_run(Reason.TARGET_CRASHED, "the target crashed")
        return refusal

    def record_response(self, call: InFlightCall, dispatched_at: float) -> None:
        """Record a response; it clears a suspect that was sent without a trial."""
        if self.detector.record_response(dispatched_at):
            self._reported = None
        self._successes.record(call.context, call.body)
        if call.trial is not None or not self._table.is_active:
            return
        fingerprint = self._compute(call)
        if self._table.find(fingerprint) is Suspicion.SUSPECT:
            self._notifier.clear(fingerprint, ServiceName(call.context.service))

    def _begin_trial(
        self, context: CallContext, fingerprint: Fingerprint
    ) -> Result[Trial | None, Refusal]:
        acquired = self._slots.acquire(
            fingerprint,
            lambda: self._table.find_crashed_at(fingerprint) + TRIAL_DELAY_S,
            context.deadline_at,
            lambda: not self._table.has_one_crash(fingerprint),
        )
        if not acquired:
            detail = "other trials are waiting"
            return Err(refuse_not_run(Reason.TRIAL_BUSY, TRIAL_RETRY_AFTER_MS, detail))
        if self._table.find(fingerprint) is Suspicion.QUARANTINED:
            self._slots.release(fingerprint)
            return Err(refuse_quarantined(self._table.find_left_s(fingerprint)))
        if self._was_cleared(fingerprint):
            self._slots.release(fingerprint)
            return Ok(None)
        service = ServiceName(context.service)
        self._metrics.increment("trials")
        return Ok(
            Trial(
                self._slots,
                fingerprint,
                lambda: self._notifier.clear(fingerprint, service),
            )
        )

    def _is_news(self, context: CallContext, fingerprint: Fingerprint) -> bool:
        """Return whether an entry knows of a crash that this owner does not."""
        return context.in_trial and not self._was_cleared(fingerprint)

    def _was_cleared(self, fingerprint: Fingerprint) -> bool:
        """Return whether a call is no suspect, because it was cleared a moment ago."""
        if self._table.find(fingerprint) is not Suspicion.NONE:
            return False
        now = self._clock.read_monotonic()
        return now - self._table.find_cleared_at(fingerprint) < CLEARED_LIFETIME_S

    def _report(self, target: TargetStatus, calls: InFlightCalls) -> None:
        """
        Report the crash of a start of the target, once.

        When it returns, all calls that failed with the target are suspects.
        """
        start = identify(target)
        with self._lock:
            if self._reported == start:
                return
            self._reported = start
            in_flight = [
                call
                for call in calls.list_calls()
                if call.target is not None and identify(call.target) == start
            ]
            self._notifier.report_crash(self._build_report(target, in_flight))

    def _build_report(
        self, target: TargetStatus, in_flight: list[InFlightCall]
    ) -> CrashReport:
        in_trial = [call for call in in_flight if call.trial is not None]
        others = [call for call in in_flight if call.trial is None]
        trials = [self._compute(call) for call in self._exonerate(in_trial)]
        suspects = trials or self._list_suspects(self._exonerate(others) or in_flight)
        report = CrashReport(
            CrashId(os.urandom(CRASH_ID_BYTES)),
            ServiceName(target.service or ""),
            self._clock.read_monotonic(),
            tuple(dict.fromkeys(suspects))[:SUSPECTS_MAX],
            in_trial=len(trials) == 1,
        )
        self._metrics.increment("target_crashes")
        log_warning(
            "target_crashed",
            target=target.target_id or "",
            address=str(target.address),
            in_flight=len(in_flight),
            suspects=len(report.suspects),
            in_trial=report.in_trial,
            crash=report.crash_id.hex(),
        )
        return report

    def _exonerate(self, calls: list[InFlightCall]) -> list[InFlightCall]:
        """Return the calls that this target has not answered lately."""
        return [
            call for call in calls if not self._successes.take(call.context, call.body)
        ]

    def _list_suspects(self, calls: list[InFlightCall]) -> list[Fingerprint]:
        """Return the calls that were in flight at earlier crashes as well, or all."""
        fingerprints = [self._compute(call) for call in calls]
        known = [
            each
            for each in fingerprints
            if self._table.find(each) is not Suspicion.NONE
        ]
        return known or fingerprints

    def _compute(self, call: InFlightCall) -> Fingerprint:
        return compute_fingerprint(self._fingerprinter, call.context, call.body)
