"""Write answers and refusals as HTTP responses."""

import json
import math
import zlib
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from corianderhold.coordination.call import Answer
from corianderhold.coordination.entry.const import (
    RETRY_AFTER_EXTRA_S,
    RETRY_AFTER_LEAST_MS,
)
from corianderhold.ids import CallId
from corianderhold.protocol.headers import (
    HEADER_CALL_ID,
    HEADER_REASON,
    HEADER_RETRY_AFTER,
    HEADER_VERDICT,
)
from corianderhold.protocol.verdict import Reason, Refusal, RunState
from corianderhold.transport.web.server import StartResponse

STATUS_OF_REASON = {
    Reason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    Reason.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    Reason.KEY_WITHDRAWN: HTTPStatus.UNAUTHORIZED,
    Reason.KEY_EXPIRED: HTTPStatus.UNAUTHORIZED,
    Reason.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    Reason.ROUTE_FORBIDDEN: HTTPStatus.FORBIDDEN,
    Reason.CONTEXT_UNKNOWN: HTTPStatus.FORBIDDEN,
    Reason.REQUEST_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEPTH_EXCEEDED: HTTPStatus.LOOP_DETECTED,
}
REPEATS = frozenset({Reason.REPEAT_IN_PROGRESS, Reason.REPEAT_UNKNOWN})
RETRY_LATER = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.CONFLICT}
)
MILLISECONDS = 1000
TIMEOUTS = frozenset({Reason.TARGET_SILENT, Reason.PEER_SILENT, Reason.DEADLINE_PASSED})

RetryAfterFormat = Callable[[Refusal, CallId], str]


def respond_answer(
    answer: Answer, call_id: CallId, start_response: StartResponse
) -> Iterable[bytes]:
    """
    Write an answer; its parts are passed on as they come.

    An answer that breaks off raises within the iteration: the server then closes the
    connection before the answer's end, so that the caller can tell.
    """
    headers = [(header.name, header.value) for header in answer.headers]
    headers.append((HEADER_VERDICT, RunState.WHOLE.value))
    headers.append((HEADER_CALL_ID, call_id))
    start_response(describe_status(answer.status), headers)
    if answer.body is not None:
        answer.close()
        return [answer.body]
    return ClosingParts(answer)


class ClosingParts:
    """Pass on the parts of an answer; the server calls `close` in every case."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer

    def __iter__(self) -> Iterator[bytes]:
        return self._answer.chunks

    def close(self) -> None:
        """Close the answer."""
        self._answer.close()


def respond_refusal(
    refusal: Refusal,
    call_id: CallId,
    start_response: StartResponse,
    format_retry_after: RetryAfterFormat,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Write a refusal with its verdict and the time to come back."""
    status = choose_status(refusal)
    body = json.dumps(
        {
            "verdict": refusal.run_state.value,
            "reason": refusal.reason.value,
            "retry_after_ms": refusal.retry_after_ms,
            "detail": refusal.detail,
            "call_id": call_id,
        }
    ).encode()
    fields = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (HEADER_VERDICT, refusal.run_state.value),
        (HEADER_REASON, refusal.reason.value),
        (HEADER_CALL_ID, call_id),
        *headers,
    ]
    if status in RETRY_LATER:
        retry_after = format_retry_after(refusal, call_id)
        fields.append((HEADER_RETRY_AFTER, retry_after))
    start_response(describe_status(status), fields)
    return [body]


def format_whole_seconds(refusal: Refusal, call_id: CallId) -> str:
    """
    Return the whole seconds after which to come back, at least those of the refusal.

    RFC 9110 has no fractions, which would send all callers back in the same second.
    So each call gets up to RETRY_AFTER_EXTRA_S more, drawn from its id.
    """
    drawn = draw_number(call_id) % (RETRY_AFTER_EXTRA_S + 1)
    return str(max(1, math.ceil(refusal.retry_after_ms / MILLISECONDS)) + drawn)


def format_milliseconds(refusal: Refusal, call_id: CallId) -> str:
    """
    Return the seconds after which to come back, with three decimal places.

    For callers that are known to read fractions. Each call gets up to half of the
    refusal's time more, drawn from its id.
    """
    least_ms = max(RETRY_AFTER_LEAST_MS, refusal.retry_after_ms)
    extra_ms = draw_number(call_id) % (least_ms // 2 + 1)
    return f"{(least_ms + extra_ms) / MILLISECONDS:.3f}"


def draw_number(call_id: CallId) -> int:
    """Return a number that spreads calls evenly, always the same for one call."""
    return zlib.crc32(call_id.encode())


def choose_status(refusal: Refusal) -> HTTPStatus:
    """Return the HTTP status of a refusal."""
    if refusal.reason is Reason.BODY_TOO_LARGE:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    if refusal.not_run:
        return STATUS_OF_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.reason in REPEATS:
        return HTTPStatus.CONFLICT
    if refusal.reason in TIMEOUTS:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def describe_status(status: int) -> str:
    """Return the status line's text."""
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{int(status)} Unknown"
