"""Define the HTTP headers used between callers, daemons and targets."""

import re
from dataclasses import dataclass
from urllib.parse import quote

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
HEADER_RATE_LIMIT = "X-Corianderhold-Rate-Limit"
HEADER_LEAVING = "X-Corianderhold-Leaving"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_AUTHORIZATION = "Authorization"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_RETRY_AFTER = "Retry-After"
BEARER_PREFIX = "Bearer "

# RFC 9110, section 5.5, without tabs and what is not printable in Latin-1. A value that
# looks like an encoded one is encoded itself.
VISIBLE = r"!-~\xa1-\xac\xae-\xff"
PLAIN_VALUE = re.compile(rf"(?!UTF-8'')[{VISIBLE}](?:[ {VISIBLE}]*[{VISIBLE}])?")
ENCODED_VALUE_PREFIX = "UTF-8''"
ATTR_CHARACTERS = "!#$&+-.^_`|~"  # RFC 8187, section 3.2.1, besides letters and digits

# RFC 9110, section 7.6.1: these fields apply to a single connection.
HOP_BY_HOP_HEADERS = frozenset(
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
NOT_FORWARDED_TO_TARGET = HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "expect",
}


def is_forwarded_to_target(name: str) -> bool:
    """Return whether a header of a request is forwarded to the target."""
    lowered = name.lower()
    return lowered not in NOT_FORWARDED_TO_TARGET and not lowered.startswith(
        HEADER_PREFIX
    )


def is_forwarded_to_caller(name: str) -> bool:
    """Return whether a header of a response is forwarded to the caller."""
    lowered = name.lower()
    return lowered not in HOP_BY_HOP_HEADERS and not lowered.startswith(HEADER_PREFIX)


def encode_value(name: str) -> str:
    """
    Return the value of a header field that states a name.

    A name that a field can hold is sent as it is, in Latin-1. Any other is sent as an
    extended value (RFC 8187), so that different names never have the same value.
    """
    if PLAIN_VALUE.fullmatch(name):
        return name
    return ENCODED_VALUE_PREFIX + quote(name, safe=ATTR_CHARACTERS)


@dataclass(frozen=True)
class HeaderNames:
    """
    The header names that a deployment can override.

    `request_id` is set by the caller, forwarded to the target unchanged and returned
    with the response. `deadline_ms` is set by the caller and forwarded to the target
    with the remaining milliseconds. `caller_service` is the service of the target next
    to the entry. A target that is not the one named in `expected_target` refuses the
    request with 421; a target that has not run a request indicates it with `not_run`.
    A target names in `rate_limit` how many calls per second it accepts from all daemons
    together, and sets `leaving` to 1 when it leaves. It names its id in `target_id` in
    its answer to a health check; None if targets answer none.
    `importance` and `context` are None if targets do not support them; they are not
    sent then. `idempotency_key` is None if callers send none; no leases are held for
    idempotency keys then.
    """

    request_id: str = HEADER_REQUEST_ID
    deadline_ms: str = HEADER_DEADLINE_MS
    organisation: str = HEADER_ORGANISATION
    importance: str | None = HEADER_IMPORTANCE
    context: str | None = HEADER_CONTEXT
    caller_service: str = HEADER_CALLER_SERVICE
    expected_target: str = HEADER_EXPECTED_TARGET
    not_run: str = HEADER_NOT_RUN
    rate_limit: str = HEADER_RATE_LIMIT
    leaving: str = HEADER_LEAVING
    target_id: str | None = None
    idempotency_key: str | None = HEADER_IDEMPOTENCY_KEY
