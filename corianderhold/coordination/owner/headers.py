"""Build the request headers for a target and interpret its response headers."""

from collections.abc import Iterator
from http import HTTPStatus

from corianderhold.coordination.call import CallContext
from corianderhold.coordination.owner.const import TARGET_RETRY_AFTER_MS
from corianderhold.protocol.headers import (
    HEADER_CALL_ID,
    HEADER_RETRY_AFTER,
    HeaderNames,
    encode_value,
    is_forwarded_to_caller,
)
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run

FULL_STATUSES = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


class TargetHeaders:
    """Build request headers under the header names of the deployment."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        own_names = (
            names.deadline_ms,
            names.organisation,
            names.expected_target,
            names.not_run,
            names.importance,
            names.context,
        )
        self._reserved = frozenset(
            name.lower() for name in own_names if name is not None
        )

    def build(
        self, context: CallContext, target_id: str | None, token: str, left_s: float
    ) -> tuple[Header, ...]:
        """
        Return the caller's headers and the owner's, `left_s` before the deadline.

        Headers of the caller under one of the owner's names are dropped.
        """
        kept = [
            header
            for header in context.headers
            if header.name.lower() not in self._reserved
        ]
        return (*kept, *self._build_own(context, target_id, token, left_s))

    def _build_own(
        self, context: CallContext, target_id: str | None, token: str, left_s: float
    ) -> Iterator[Header]:
        names = self._names
        yield Header(names.deadline_ms, str(max(1, int(left_s * 1000))))
        if context.organisation:
            yield Header(names.organisation, encode_value(context.organisation))
        if target_id is not None:
            yield Header(names.expected_target, encode_value(target_id))
        if names.importance is not None:
            yield Header(names.importance, str(context.importance))
        if names.context is not None:
            yield Header(names.context, token)
            yield Header(HEADER_CALL_ID, context.call_id)


def select_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a response that may be passed on to the caller."""
    return tuple(header for header in headers if is_forwarded_to_caller(header.name))


def parse_refusal(
    status: int, headers: tuple[Header, ...], names: HeaderNames
) -> Refusal | None:
    """Return the refusal if a response says that the request has not run."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return refuse_not_run(Reason.TARGET_MISMATCH, TARGET_RETRY_AFTER_MS)
    if find_header(headers, names.not_run) is None:
        return None
    reason = Reason.TARGET_FULL if status in FULL_STATUSES else Reason.TARGET_REFUSED
    return refuse_not_run(
        reason,
        read_retry_after_ms(headers),
        f"status {status}",
    )


def read_retry_after_ms(headers: tuple[Header, ...]) -> int:
    """Return the retry-after time of a response in milliseconds."""
    text = find_header(headers, HEADER_RETRY_AFTER) or ""
    try:
        return max(0, int(float(text) * 1000))
    except (ValueError, OverflowError):
        return TARGET_RETRY_AFTER_MS


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of the first header with this name."""
    lowered = name.lower()
    for header in headers:
        if header.name.lower() == lowered:
            return header.value
    return None
