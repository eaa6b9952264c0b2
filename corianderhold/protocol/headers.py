"""Name the headers between callers, daemons and targets."""

HEADER_PREFIX = "x-corianderhold-"
HEADER_VERDICT = "X-Corianderhold-Verdict"
HEADER_REASON = "X-Corianderhold-Reason"
HEADER_CALL_ID = "X-Corianderhold-Call-Id"
HEADER_CONTEXT = "X-Corianderhold-Context"
HEADER_ORGANISATION = "X-Corianderhold-Organisation"
HEADER_IMPORTANCE = "X-Corianderhold-Importance"
HEADER_DEADLINE_MS = "X-Corianderhold-Deadline-Ms"
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
NEVER_TO_TARGET = HOP_BY_HOP | {"authorization", "content-length", "expect", "host"}


def may_reach_target(name: str) -> bool:
    """Return whether a caller's header is passed on to a target."""
    lowered = name.lower()
    return lowered not in NEVER_TO_TARGET and not lowered.startswith(HEADER_PREFIX)


def may_reach_caller(name: str) -> bool:
    """Return whether a target's header is passed on to a caller."""
    lowered = name.lower()
    return lowered not in HOP_BY_HOP and not lowered.startswith(HEADER_PREFIX)
