"""Compute the digest that a key is kept as, and compare keys with it."""

from hashlib import sha256
from hmac import compare_digest, digest
from secrets import token_hex

from corianderhold.ids import KeyId
from corianderhold.state.keys.const import (
    DIGEST_ALGORITHM,
    DIGEST_MARK,
    OPAQUE_ID_DIGITS,
    OPAQUE_ID_MARK,
    OPAQUE_MARK,
    SALT_BYTES,
)


def digest_secret(secret: str) -> str:
    """Return the digest of a secret with a new salt, as `mark$salt$digest`."""
    salt = token_hex(SALT_BYTES)
    return f"{DIGEST_MARK}${salt}${_compute(salt, secret)}"


def fits_digest(secret: str, stored: str) -> bool:
    """Whether a secret in ASCII has this digest; takes the same time for both."""
    mark, _, rest = stored.partition("$")
    salt, _, expected = rest.partition("$")
    if mark != DIGEST_MARK:
        return False
    return compare_digest(_compute(salt, secret), expected)


def digest_opaque(text: str) -> str:
    """
    Return the digest of an opaque key as `mark$digest`, the same on all daemons.

    It has no salt, so it hides only a key that can't be guessed.
    """
    return f"{OPAQUE_MARK}${sha256(text.encode()).hexdigest()}"


def name_opaque_key(stored: str) -> KeyId:
    """Return the id of an opaque key with this digest."""
    start = len(OPAQUE_MARK) + 1
    return KeyId(OPAQUE_ID_MARK + stored[start : start + OPAQUE_ID_DIGITS])


def _compute(salt: str, secret: str) -> str:
    return digest(salt.encode(), secret.encode(), DIGEST_ALGORITHM).hex()
