"""Decide from the crashes of targets which calls may run."""

import threading
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from corianderhold.clock import Clock
from corianderhold.ids import CrashId, Fingerprint, ServiceName
from corianderhold.state.quarantine.const import (
    CLEARANCES_MAX,
    CRASHES_UNTIL_QUARANTINE,
    ORGANISATION_DIGEST_BYTES,
    ORGANISATION_QUARANTINES_MAX,
    QUARANTINE_MAX_S,
    QUARANTINE_S,
    QUARANTINES_MAX,
    REPORT_LIFETIME_S,
    REPORTS_MAX,
    SUSPECTS_MAX,
)
from corianderhold.state.quarantine.model import (
    Clearance,
    CrashReport,
    Quarantine,
    QuarantineView,
    Suspicion,
)


class QuarantineTable:
    """
    Keep crash reports, clearances and quarantines; any thread may use it.

    Daemons merge what they know in any order and come to the same decisions. A call is
    quarantined if its target crashed in a trial, or if it was in flight at several
    crashes and at more of them than any other call. All collections are bounded.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reports: OrderedDict[CrashId, CrashReport] = OrderedDict()
        self._crashes: dict[Fingerprint, set[CrashId]] = {}
        self._clearances: OrderedDict[Fingerprint, float] = OrderedDict()
        self._quarantines: dict[Fingerprint, Quarantine] = {}
        self.is_active = False  # read without the lock on the path of each call

    def find(self, fingerprint: Fingerprint) -> Suspicion:
        """Return whether a call may run."""
        now = self._clock.read_monotonic()
        quarantine = self._quarantines.get(fingerprint)
        if quarantine is not None:
            return (
                Suspicion.QUARANTINED
                if now < quarantine.until
                else Suspicion.SUSPECT  # it runs in a trial first
            )
        if fingerprint in self._crashes:
            return Suspicion.SUSPECT
        return Suspicion.NONE

    def find_left_s(self, fingerprint: Fingerprint) -> float:
        """Return the seconds until a call's quarantine ends; 0 if it has none."""
        quarantine = self._quarantines.get(fingerprint)
        if quarantine is None:
            return 0.0
        return max(0.0, quarantine.until - self._clock.read_monotonic())

    def has_one_crash(self, fingerprint: Fingerprint) -> bool:
        """Return whether a suspect was in flight at a single crash so far."""
        if fingerprint in self._quarantines:
            return False
        return len(self._crashes.get(fingerprint, ())) == 1

    def find_cleared_at(self, fingerprint: Fingerprint) -> float:
        """Return when a call was last cleared; -inf if never."""
        return self._clearances.get(fingerprint, float("-inf"))

    def find_crashed_at(self, fingerprint: Fingerprint) -> float:
        """Return when a target last crashed with a call in flight; -inf if never."""
        with self._lock:
            reports = [
                self._reports[crash] for crash in self._crashes.get(fingerprint, ())
            ]
        return max((report.crashed_at for report in reports), default=float("-inf"))

    def record_crash(self, report: CrashReport) -> tuple[Quarantine, ...]:
        """Add a report and return the quarantines that follow from it."""
        with self._lock:
            quarantines = self._add_report(report)
            self._remove_expired()
        return quarantines

    def clear(self, fingerprint: Fingerprint) -> Clearance | None:
        """Record that a suspect may run; return None if it was not suspected."""
        clearance = Clearance(fingerprint, self._clock.read_monotonic())
        with self._lock:
            if not (fingerprint in self._crashes or fingerprint in self._quarantines):
                return None
            self._clear(clearance)
            self._remove_expired()
        return clearance

    def merge(
        self,
        reports: Iterable[CrashReport],
        clearances: Iterable[Clearance],
        quarantines: Iterable[Quarantine],
    ) -> tuple[Quarantine, ...]:
        """Add what another daemon knows; return the quarantines that are new here."""
        before = set(self._quarantines)
        with self._lock:
            for clearance in clearances:
                self._clear(clearance)
            for quarantine in quarantines:
                self._add_quarantine(quarantine)
            for report in sorted(reports, key=lambda each: each.crashed_at):
                self._add_report(report)
            self._remove_expired()
            return tuple(
                each for key, each in self._quarantines.items() if key not in before
            )

    def read_view(self) -> QuarantineView:
        """Return all that is known."""
        with self._lock:
            self._remove_expired()
            digest = blake2b(digest_size=16)
            for part in (self._reports, self._clearances, self._quarantines):
                for key in sorted(part):
                    digest.update(key)
                digest.update(b"|")
            return QuarantineView(
                digest.digest(),
                tuple(self._reports.values()),
                tuple(Clearance(*each) for each in self._clearances.items()),
                tuple(self._quarantines.values()),
            )

    def count_suspects(self) -> int:
        """Return the number of calls that run only in a trial."""
        return len(self._crashes)

    def count_quarantines(self) -> int:
        """Return the number of calls in quarantine."""
        now = self._clock.read_monotonic()
        return sum(now < each.until for each in list(self._quarantines.values()))

    def _add_report(self, report: CrashReport) -> tuple[Quarantine, ...]:
        if report.crash_id in self._reports:
            return ()
        suspects = tuple(
            each
            for each in report.suspects[:SUSPECTS_MAX]
            if self._clearances.get(each, float("-inf")) < report.crashed_at
        )
        self._reports[report.crash_id] = report
        if len(self._reports) > REPORTS_MAX:
            self._remove_report(next(iter(self._reports)))
        for fingerprint in suspects:
            self._crashes.setdefault(fingerprint, set()).add(report.crash_id)
        culprit = self._find_culprit(report, suspects)
        if culprit is None:
            return ()
        quarantine = self._build_quarantine(culprit, report.service)
        return (quarantine,) if self._add_quarantine(quarantine) else ()

    def _find_culprit(
        self, report: CrashReport, suspects: tuple[Fingerprint, ...]
    ) -> Fingerprint | None:
        if report.in_trial and len(suspects) == 1:
            return suspects[0]
        ranked = sorted(
            suspects, key=lambda each: len(self._crashes[each]), reverse=True
        )
        if not ranked:
            return None
        most = len(self._crashes[ranked[0]])
        is_alone = len(ranked) == 1 or len(self._crashes[ranked[1]]) < most
        enough = most >= CRASHES_UNTIL_QUARANTINE
        return ranked[0] if enough and is_alone else None

    def _build_quarantine(
        self, fingerprint: Fingerprint, service: ServiceName
    ) -> Quarantine:
        now = self._clock.read_monotonic()
        before = self._quarantines.get(fingerprint)
        if before is not None and now < before.until:
            return before
        count = 1 if before is None else before.count + 1
        duration_s = min(QUARANTINE_MAX_S, QUARANTINE_S * 2.0 ** (count - 1))
        return Quarantine(fingerprint, service, now, now + duration_s, count)

    def _add_quarantine(self, quarantine: Quarantine) -> bool:
        """Add a quarantine and return whether it changes anything."""
        fingerprint = quarantine.fingerprint
        if self._clearances.get(fingerprint, float("-inf")) >= quarantine.since:
            return False
        before = self._quarantines.get(fingerprint)
        if before is not None and before.count >= quarantine.count:
            return False
        if before is None:
            self._make_room(fingerprint)
        self._quarantines[fingerprint] = quarantine
        return True

    def _make_room(self, fingerprint: Fingerprint) -> None:
        """Drop the oldest quarantine of an organisation that has its share, or all."""
        owner = fingerprint[:ORGANISATION_DIGEST_BYTES]
        same = [each for each in self._quarantines if each.startswith(owner)]
        candidates = same if len(same) >= ORGANISATION_QUARANTINES_MAX else []
        if not candidates and len(self._quarantines) >= QUARANTINES_MAX:
            candidates = list(self._quarantines)
        if candidates:
            oldest = min(candidates, key=lambda each: self._quarantines[each].since)
            del self._quarantines[oldest]

    def _clear(self, clearance: Clearance) -> None:
        fingerprint = clearance.fingerprint
        at = max(clearance.cleared_at, self._clearances.pop(fingerprint, float("-inf")))
        self._clearances[fingerprint] = at
        if len(self._clearances) > CLEARANCES_MAX:
            self._clearances.popitem(last=False)
        quarantine = self._quarantines.get(fingerprint)
        if quarantine is not None and quarantine.since <= at:
            del self._quarantines[fingerprint]
        crashes = self._crashes.get(fingerprint, set())
        crashes = {each for each in crashes if self._reports[each].crashed_at > at}
        if crashes:
            self._crashes[fingerprint] = crashes
        else:
            self._crashes.pop(fingerprint, None)

    def _remove_expired(self) -> None:
        now = self._clock.read_monotonic()
        oldest = now - REPORT_LIFETIME_S
        for crash_id, report in list(self._reports.items()):
            if report.crashed_at < oldest:
                self._remove_report(crash_id)
        for fingerprint, at in list(self._clearances.items()):
            if at < oldest:
                del self._clearances[fingerprint]
        for fingerprint, each in list(self._quarantines.items()):
            if now >= each.until + (each.until - each.since):
                del self._quarantines[fingerprint]
        self.is_active = bool(self._crashes or self._quarantines)

    def _remove_report(self, crash_id: CrashId) -> None:
        report = self._reports.pop(crash_id)
        for fingerprint in report.suspects:
            crashes = self._crashes.get(fingerprint)
            if crashes is None:
                continue
            crashes.discard(crash_id)
            if not crashes:
                del self._crashes[fingerprint]
