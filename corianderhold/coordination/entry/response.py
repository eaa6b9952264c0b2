"""Write responses and refusals over HTTP."""

import json
import math
import zlib
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from corianderhold.coordination.call import Response
from corianderhold.coordination.entry.const import (
    RETRY_AFTER_JITTER_S,
    RETRY_AFTER_MIN_MS,
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

STATUS_BY_REASON = {
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
REPEAT_REASONS = frozenset({Reason.REPEAT_IN_PROGRESS, Reason.REPEAT_UNKNOWN})
RETRY_AFTER_STATUSES = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.CONFLICT}
)
MILLISECONDS = 1000
TIMEOUT_REASONS = frozenset(
    {Reason.TARGET_SILENT, Reason.PEER_SILENT, Reason.DEADLINE_PASSED}
)

RetryAfterFormat = Callable[[Refusal, CallId], str]


def write_response(
    response: Response, call_id: CallId, start_response: StartResponse
) -> Iterable[bytes]:
    """
    Write a response; the chunks of a streamed one are passed on as they arrive.

    A truncated response raises during the iteration. The server then closes the
    connection before the end of the response, so that the caller can detect it.
    """
    headers = [(header.name, header.value) for header in response.headers]
    headers.append((HEADER_VERDICT, RunState.WHOLE.value))
    headers.append((HEADER_CALL_ID, call_id))
    start_response(describe_status(response.status), headers)
    if response.body is not None:
        response.close()
        return [response.body]
    return ClosingBody(response)


class CompleteBody(list[bytes]):
    """The parts of a complete response; the server always calls `close`."""

    def __init__(self, parts: Iterable[bytes], close: Callable[[], None]) -> None:
        super().__init__(parts)
        self.close = close


class ClosingBody:
    """Pass on the chunks of a response; the server always calls `close`."""

    def __init__(self, response: Response) -> None:
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        return self._response.chunks

    def close(self) -> None:
        """Close the response."""
        self._response.close()


def write_refusal(
    refusal: Refusal,
    call_id: CallId,
    start_response: StartResponse,
    format_retry_after: RetryAfterFormat,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Write a refusal with its verdict and retry-after time."""
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
    if status in RETRY_AFTER_STATUSES:
        retry_after = format_retry_after(refusal, call_id)
        fields.append((HEADER_RETRY_AFTER, retry_after))
    start_response(describe_status(status), fields)
    return [body]


def format_whole_seconds(refusal: Refusal, call_id: CallId) -> str:
    """
    Format the retry-after in whole seconds, rounded up, with jitter.

    RFC 9110 allows no fractions, so without jitter all callers would retry in the same
    second. Each call gets up to RETRY_AFTER_JITTER_S more, derived from its id.
    """
    jitter_s = hash_call_id(call_id) % (RETRY_AFTER_JITTER_S + 1)
    return str(max(1, math.ceil(refusal.retry_after_ms / MILLISECONDS)) + jitter_s)


def format_milliseconds(refusal: Refusal, call_id: CallId) -> str:
    """
    Format the retry-after in seconds with three decimal places, with jitter.

    It is for callers that are known to accept fractions. Each call gets up to half of
    the refusal's time more, derived from its id.
    """
    least_ms = max(RETRY_AFTER_MIN_MS, refusal.retry_after_ms)
    jitter_ms = hash_call_id(call_id) % (least_ms // 2 + 1)
    return f"{(least_ms + jitter_ms) / MILLISECONDS:.3f}"


def hash_call_id(call_id: CallId) -> int:
    """Return an evenly distributed hash of a call id."""
    return zlib.crc32(call_id.encode())


def choose_status(refusal: Refusal) -> HTTPStatus:
    """Return the HTTP status of a refusal."""
    if refusal.reason is Reason.BODY_TOO_LARGE:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    if refusal.not_run:
        return STATUS_BY_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.reason in REPEAT_REASONS:
        return HTTPStatus.CONFLICT
    if refusal.reason in TIMEOUT_REASONS:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def describe_status(status: int) -> str:
    """Return the status code and reason phrase of a status line."""
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{int(status)} Unknown"
