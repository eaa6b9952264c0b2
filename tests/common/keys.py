"""Generate idempotency keys."""

import secrets
import time
from uuid import UUID

VERSION_7 = 0x7 << 76
VARIANT = 0x2 << 62


def make_key(made_at: float | None = None) -> str:
    """Return a new UUIDv7 for a Unix time in seconds, by default now."""
    at = time.time() if made_at is None else made_at
    random_a = secrets.randbits(12) << 64
    number = (int(at * 1000) << 80) | VERSION_7 | random_a | VARIANT
    return str(UUID(int=number | secrets.randbits(62)))
