"""Remember at an entry what owners said of calls that may crash their targets."""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, RequestBody
from corianderhold.coordination.quarantine.const import (
    HINT_LIFETIME_S,
    HINTS_MAX,
    QUARANTINED_RETRY_AFTER_MIN_MS,
)
from corianderhold.ids import Fingerprint, ServiceName
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.membership.model import Member
from corianderhold.state.quarantine.fingerprint import Fingerprinter
from corianderhold.state.quarantine.model import Suspicion, rank_testers
from corianderhold.state.quarantine.table import QuarantineTable

SUSPICIONS = {
    Reason.TARGET_CRASHED: Suspicion.SUSPECT,
    Reason.TRIAL_REQUIRED: Suspicion.SUSPECT,
    Reason.QUARANTINED: Suspicion.QUARANTINED,
}


@dataclass(frozen=True)
class Hint:
    """What an owner said of a call, valid until a monotonic time in seconds."""

    suspicion: Suspicion
    until: float
    released_at: float


class QuarantineHints:
    """
    Know which calls an entry must not send, or only to the owner that tries them.

    The owners decide. What they refuse is remembered for a short time, so that a call
    in quarantine is refused at once, and ends soon after its quarantine has ended.
    """

    def __init__(
        self,
        fingerprinter: Fingerprinter,
        table: QuarantineTable,
        clock: Clock,
    ) -> None:
        self._fingerprinter = fingerprinter
        self._table = table
        self._clock = clock
        self._lock = threading.Lock()
        self._hints: OrderedDict[Fingerprint, Hint] = OrderedDict()
        self._expiry_at = float("-inf")

    def find(self, context: CallContext, body: RequestBody) -> Suspicion:
        """Return whether a call may be sent."""
        if not self._hints and not self._table.is_active:
            return Suspicion.NONE
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        known = self._table.find(fingerprint)
        if known is Suspicion.QUARANTINED:
            return known
        hint = self._hints.get(fingerprint)
        now = self._clock.read_monotonic()
        if now >= self._expiry_at:
            with self._lock:
                self._remove_expired(now)
        if hint is None or hint.until <= now:
            return known
        return hint.suspicion

    def refuse(self, context: CallContext, body: RequestBody) -> Refusal:
        """Return the refusal of a call in quarantine."""
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        left_s = self._table.find_left_s(fingerprint)
        hint = self._hints.get(fingerprint)
        if left_s <= 0 and hint is not None:
            left_s = hint.released_at - self._clock.read_monotonic()
        return refuse_quarantined(left_s)

    def learn(
        self, context: CallContext, body: RequestBody, refusal: Refusal
    ) -> Suspicion:
        """Remember a refusal that concerns the call itself; return what it says."""
        suspicion = SUSPICIONS.get(refusal.reason, Suspicion.NONE)
        if suspicion is Suspicion.NONE:
            return suspicion
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        now = self._clock.read_monotonic()
        released_at = now + refusal.retry_after_ms / 1000
        lifetime_s = HINT_LIFETIME_S
        if suspicion is Suspicion.QUARANTINED and refusal.not_run:
            lifetime_s = min(lifetime_s, refusal.retry_after_ms / 1000)
        with self._lock:
            self._hints.pop(fingerprint, None)
            self._hints[fingerprint] = Hint(suspicion, now + lifetime_s, released_at)
            self._remove_expired(now)
        return suspicion

    def forget(self, context: CallContext, body: RequestBody) -> None:
        """Forget a call that got a response."""
        if not self._hints:
            return
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        with self._lock:
            self._hints.pop(fingerprint, None)

    def choose_tester(
        self,
        context: CallContext,
        body: RequestBody,
        owners: tuple[Member, ...],
        allows: Callable[[Member], bool],
    ) -> Member | None:
        """Return the owner that tries a suspect, or None if none is eligible."""
        eligible = {each.instance: each for each in owners if allows(each)}
        if not eligible:
            return None
        fingerprint = compute_fingerprint(self._fingerprinter, context, body)
        return eligible[rank_testers(fingerprint, eligible)[0]]

    def _remove_expired(self, now: float) -> None:
        self._expiry_at = now + HINT_LIFETIME_S
        while self._hints:
            fingerprint, oldest = next(iter(self._hints.items()))
            if len(self._hints) <= HINTS_MAX and oldest.until > now:
                return
            del self._hints[fingerprint]


def compute_fingerprint(
    fingerprinter: Fingerprinter, context: CallContext, body: RequestBody
) -> Fingerprint:
    """Return the fingerprint of a call; the same at its entry and at its owner."""
    return fingerprinter.compute(
        context.organisation,
        ServiceName(context.service),
        context.method,
        context.path,
        body.inline,
        body.length,
    )


def refuse_quarantined(left_s: float) -> Refusal:
    """Return the refusal of a call whose quarantine lasts for `left_s` seconds."""
    wait_ms = max(QUARANTINED_RETRY_AFTER_MIN_MS, round(left_s * 1000))
    detail = "equal requests crashed their targets"
    return refuse_not_run(Reason.QUARANTINED, wait_ms, detail)
