"""Generate response bodies that identify the request they belong to."""

from collections.abc import Iterator

BLOCK_BYTES = 65_536


def build_unit(request_id: str) -> bytes:
    """Return the byte sequence that a request's response body repeats."""
    return f"{request_id or '-'};".encode()


def generate_pattern(request_id: str, size: int) -> Iterator[bytes]:
    """Yield `size` bytes in blocks, with the request id repeated throughout."""
    unit = build_unit(request_id)
    block = unit * (BLOCK_BYTES // len(unit) + 1)
    position = 0
    while position < size:
        start = position % len(unit)
        count = min(BLOCK_BYTES, size - position, len(block) - start)
        yield block[start : start + count]
        position += count


def matches_pattern(request_id: str, size: int, body: bytes) -> bool:
    """Return whether a body is complete and belongs to this request."""
    return body == b"".join(generate_pattern(request_id, size))
