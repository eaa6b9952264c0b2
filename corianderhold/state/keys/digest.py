"""Compute the digest that a key is kept as, and compare keys with it."""

from hmac import compare_digest, digest
from secrets import token_hex

from corianderhold.state.keys.const import (
    DIGEST_ALGORITHM,
    DIGEST_MARK,
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


def _compute(salt: str, secret: str) -> str:
    return digest(salt.encode(), secret.encode(), DIGEST_ALGORITHM).hex()
