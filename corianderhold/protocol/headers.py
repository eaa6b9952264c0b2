"""Name the headers between callers, daemons and targets."""

from dataclasses import dataclass

HEADER_PREFIX = "x-corianderhold-"
HEADER_VERDICT = "X-Corianderhold-Verdict"
HEADER_REASON = "X-Corianderhold-Reason"
HEADER_CALL_ID = "X-Corianderhold-Call-Id"
HEADER_CONTEXT = "X-Corianderhold-Context"
HEADER_ORGANISATION = "X-Corianderhold-Organisation"
HEADER_IMPORTANCE = "X-Corianderhold-Importance"
HEADER_DEADLINE_MS = "X-Corianderhold-Deadline-Ms"
HEADER_CALLER_SERVICE = "X-Corianderhold-Caller-Service"
HEADER_EXPECTED_TARGET = "X-Corianderhold-Expected-Target"
HEADER_NOT_RUN = "X-Corianderhold-Not-Run"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_AUTHORIZATION = "Authorization"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_RETRY_AFTER = "Retry-After"
BEARER_PREFIX = "Bearer "

# RFC 9110 section 7.6.1: fields that belong to one connection only.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NEVER_TO_TARGET = HOP_BY_HOP | {"authorization", "content-length", "expect"}


def may_reach_target(name: str) -> bool:
    """Return whether a caller's header is passed on to a target."""
    lowered = name.lower()
    return lowered not in NEVER_TO_TARGET and not lowered.startswith(HEADER_PREFIX)


def may_reach_caller(name: str) -> bool:
    """Return whether a target's header is passed on to a caller."""
    lowered = name.lower()
    return lowered not in HOP_BY_HOP and not lowered.startswith(HEADER_PREFIX)


@dataclass(frozen=True)
class HeaderNames:
    """
    The names of the headers that a deployment may call otherwise.

    `request_id` comes from the caller, goes to the target unchanged and comes back
    with its answer. `deadline_ms` comes from the caller and goes to the target with
    the milliseconds that are left. `caller_service` is the service beside the entry.
    A target that is not the one named in `expected_target` refuses with 421; one that
    has not run a request says so with `not_run`. Targets that know nothing of
    `importance` or `context` are not sent them; both are then None. So is
    `idempotency_key` where callers send none: no leases are held for keys then.
    """

    request_id: str = HEADER_REQUEST_ID
    deadline_ms: str = HEADER_DEADLINE_MS
    organisation: str = HEADER_ORGANISATION
    importance: str | None = HEADER_IMPORTANCE
    context: str | None = HEADER_CONTEXT
    caller_service: str = HEADER_CALLER_SERVICE
    expected_target: str = HEADER_EXPECTED_TARGET
    not_run: str = HEADER_NOT_RUN
    idempotency_key: str | None = HEADER_IDEMPOTENCY_KEY
