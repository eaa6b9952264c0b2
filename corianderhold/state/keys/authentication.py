"""Authenticate callers by their API keys."""

from dataclasses import dataclass
from hmac import compare_digest

from result import Err, Ok, Result

from corianderhold.ids import KeyId, OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.model import ApiKey, Configuration
from corianderhold.state.keys.const import KEY_PATTERN
from corianderhold.state.keys.digest import (
    derive_opaque_key_id,
    digest_opaque,
    matches_digest,
)


@dataclass(frozen=True)
class AuthenticatedCaller:
    """The key of an authenticated request and its organisation."""

    key_id: KeyId
    organisation: OrganisationId


def authenticate_caller(
    configuration: Configuration, key_text: str | None, now_s: float
) -> Result[AuthenticatedCaller, Reason]:
    """
    Return the caller that a key authenticates, or the reason why it is refused.

    `now_s` is in seconds since the Unix epoch. Only a caller that holds the secret
    learns that a key was withdrawn or has expired.
    """
    if not key_text:
        return Err(Reason.KEY_MISSING)
    key = _find_key(configuration, key_text)
    if key is None:
        return Err(Reason.KEY_UNKNOWN)
    reason = _find_refusal(key, now_s)
    if reason is not None:
        return Err(reason)
    return Ok(AuthenticatedCaller(key.key_id, key.organisation))


def _find_key(configuration: Configuration, text: str) -> ApiKey | None:
    parts = KEY_PATTERN.fullmatch(text)
    if parts is not None:
        key = configuration.keys.get(KeyId(parts[1]))
        if key is not None and matches_digest(parts[2], key.digest):
            return key
    digest = digest_opaque(text)
    key = configuration.keys.get(derive_opaque_key_id(digest))
    if key is None or not compare_digest(key.digest, digest):
        return None
    return key


def reauthenticate_caller(
    configuration: Configuration, caller: AuthenticatedCaller, now_s: float
) -> Reason | None:
    """Return why an authenticated caller is no longer accepted, or None if it is."""
    key = configuration.keys.get(caller.key_id)
    if key is None or key.organisation != caller.organisation:
        return Reason.KEY_UNKNOWN
    return _find_refusal(key, now_s)


def _find_refusal(key: ApiKey, now_s: float) -> Reason | None:
    if key.withdrawn:
        return Reason.KEY_WITHDRAWN
    if key.expires_at is not None and now_s >= key.expires_at:
        return Reason.KEY_EXPIRED
    return None
