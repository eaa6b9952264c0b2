"""Authenticate datagrams with a key shared by all daemons of a fleet."""

import hmac
from enum import Enum

from result import Err, Ok, Result

VERSION = b"\x01"
TAG_BYTES = 16
OVERHEAD_BYTES = len(VERSION) + TAG_BYTES
KEY_PURPOSE = b"corianderhold gossip 1"


class Rejection(Enum):
    """Why a datagram is rejected."""

    MALFORMED = "malformed"
    FOREIGN = "foreign"


class DatagramAuthenticator:
    """Add and verify a truncated HMAC-SHA256 with a key derived from the secret."""

    def __init__(self, secret: bytes) -> None:
        self._key = hmac.digest(secret, KEY_PURPOSE, "sha256")

    def sign(self, payload: bytes) -> bytes:
        """Return `payload` prefixed with the version and the authentication tag."""
        return VERSION + self._compute_tag(payload) + payload

    def verify(self, data: bytes) -> Result[bytes, Rejection]:
        """Return the payload of a datagram, or the reason why it is rejected."""
        if len(data) <= OVERHEAD_BYTES or not data.startswith(VERSION):
            return Err(Rejection.MALFORMED)
        tag = data[len(VERSION) : OVERHEAD_BYTES]
        payload = data[OVERHEAD_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(payload)):
            return Err(Rejection.FOREIGN)
        return Ok(payload)

    def _compute_tag(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:TAG_BYTES]
