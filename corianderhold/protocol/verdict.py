"""Define how calls end and whether the request may have run."""

from dataclasses import dataclass
from enum import Enum


class RunState(Enum):
    """Whether the target may have executed a request."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(Enum):
    """Why a call was refused or aborted."""

    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_EXPIRED = "key_expired"
    ROUTE_UNKNOWN = "route_unknown"
    ROUTE_FORBIDDEN = "route_forbidden"
    REQUEST_MALFORMED = "request_malformed"
    BODY_TOO_LARGE = "body_too_large"
    CONTEXT_UNKNOWN = "context_unknown"
    CONFIGURATION_MISSING = "configuration_missing"
    VIEW_TOO_OLD = "view_too_old"
    RATE_EXCEEDED = "rate_exceeded"
    RATE_UNSETTLED = "rate_unsettled"
    NO_TARGET = "no_target"
    DOMAIN_EVACUATED = "domain_evacuated"
    REGION_FORBIDDEN = "region_forbidden"
    SHED = "shed"
    QUEUE_FULL = "queue_full"
    DEADLINE_PASSED = "deadline_passed"
    DISPATCH_EXPIRED = "dispatch_expired"
    INCARNATION_STALE = "incarnation_stale"
    DRAINING = "draining"
    DEPTH_EXCEEDED = "depth_exceeded"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_SILENT = "peer_silent"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_SILENT = "target_silent"
    TARGET_COLD = "target_cold"
    TARGET_LIMITED = "target_limited"
    CALLEE_COLD = "callee_cold"
    TARGET_FULL = "target_full"
    TARGET_REFUSED = "target_refused"
    TARGET_MISMATCH = "target_mismatch"
    ANSWER_TRUNCATED = "answer_truncated"
    CANCELLED = "cancelled"
    REPEAT_IN_PROGRESS = "repeat_in_progress"
    REPEAT_UNKNOWN = "repeat_unknown"
    NOT_HOLDER = "not_holder"
    TARGET_CRASHED = "target_crashed"
    TRIAL_REQUIRED = "trial_required"
    TRIAL_BUSY = "trial_busy"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Refusal:
    """
    The outcome of a call that ended without a complete response.

    `retry_after_ms` is the time after which the caller may retry, in milliseconds.
    """

    run_state: RunState
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""

    @property
    def not_run(self) -> bool:
        """Return whether the request certainly has not run and will not run."""
        return self.run_state is RunState.NOT_RUN


def refuse_not_run(
    reason: Reason, retry_after_ms: int = 0, detail: str = ""
) -> Refusal:
    """Build the refusal of a request that has not run and will not run."""
    return Refusal(RunState.NOT_RUN, reason, retry_after_ms, detail)


def refuse_may_have_run(reason: Reason, detail: str = "") -> Refusal:
    """Build the refusal of a request that may have run."""
    return Refusal(RunState.MAY_HAVE_RUN, reason, 0, detail)
