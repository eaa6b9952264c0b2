"""Compute the digests that keys are stored as, and verify keys against them."""

from hashlib import sha256
from hmac import compare_digest, digest
from secrets import token_hex

from corianderhold.ids import KeyId
from corianderhold.state.keys.const import (
    DIGEST_ALGORITHM,
    DIGEST_SCHEME,
    OPAQUE_DIGEST_SCHEME,
    OPAQUE_ID_DIGITS,
    OPAQUE_ID_PREFIX,
    SALT_BYTES,
)


def digest_secret(secret: str) -> str:
    """Return the salted digest of a secret, as `scheme$salt$digest`."""
    salt = token_hex(SALT_BYTES)
    return f"{DIGEST_SCHEME}${salt}${_compute(salt, secret)}"


def matches_digest(secret: str, stored: str) -> bool:
    """Return whether an ASCII secret has this digest, compared in constant time."""
    scheme, _, rest = stored.partition("$")
    salt, _, expected = rest.partition("$")
    if scheme != DIGEST_SCHEME:
        return False
    return compare_digest(_compute(salt, secret), expected)


def digest_opaque(text: str) -> str:
    """
    Return the digest of an opaque key as `scheme$digest`, the same on all daemons.

    It has no salt, so it protects only keys that can't be guessed.
    """
    return f"{OPAQUE_DIGEST_SCHEME}${sha256(text.encode()).hexdigest()}"


def derive_opaque_key_id(stored: str) -> KeyId:
    """Derive the id of an opaque key from its digest."""
    start = len(OPAQUE_DIGEST_SCHEME) + 1
    return KeyId(OPAQUE_ID_PREFIX + stored[start : start + OPAQUE_ID_DIGITS])


def _compute(salt: str, secret: str) -> str:
    return digest(salt.encode(), secret.encode(), DIGEST_ALGORITHM).hex()
