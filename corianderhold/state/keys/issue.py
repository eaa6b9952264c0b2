"""Grant, rotate and withdraw keys as deltas of the configuration."""

from dataclasses import dataclass, field, replace
from enum import Enum
from secrets import token_hex

from result import Err, Ok, Result

from corianderhold.ids import KeyId, OrganisationId
from corianderhold.state.configuration.model import ApiKey, Configuration
from corianderhold.state.configuration.records import Delta
from corianderhold.state.keys.const import (
    KEY_ID_BYTES,
    KEY_PREFIX,
    MAX_OVERLAP_S,
    SECRET_BYTES,
)
from corianderhold.state.keys.digest import (
    derive_opaque_key_id,
    digest_opaque,
    digest_secret,
)


class KeyRefusal(Enum):
    """Why a key was not granted, rotated or withdrawn."""

    ORGANISATION_UNKNOWN = "organisation_unknown"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_EXPIRED = "key_expired"
    EXPIRY_PAST = "expiry_past"
    OVERLAP_OUT_OF_BOUNDS = "overlap_out_of_bounds"


@dataclass(frozen=True)
class IssuedKey:
    """
    A new key and the delta that puts it in force.

    `text` is shown to the operator once and never stored; it is not in the repr.
    """

    key: ApiKey
    delta: Delta
    text: str = field(repr=False)


def grant_key(
    configuration: Configuration,
    organisation: OrganisationId,
    now_s: float,
    expires_at: float | None = None,
) -> Result[IssuedKey, KeyRefusal]:
    """Issue a key to an organisation; times are in seconds since the Unix epoch."""
    if organisation not in configuration.organisations:
        return Err(KeyRefusal.ORGANISATION_UNKNOWN)
    if expires_at is not None and expires_at <= now_s:
        return Err(KeyRefusal.EXPIRY_PAST)
    key, text = _generate_key(organisation, expires_at)
    return Ok(IssuedKey(key, Delta(keys=(key,)), text))


def rotate_key(
    configuration: Configuration, key_id: KeyId, overlap_s: float, now_s: float
) -> Result[IssuedKey, KeyRefusal]:
    """
    Issue the successor of a key; the old key expires after `overlap_s` seconds.

    The successor does not expire. The old key keeps an earlier expiry time.
    """
    if not 0.0 <= overlap_s <= MAX_OVERLAP_S:
        return Err(KeyRefusal.OVERLAP_OUT_OF_BOUNDS)
    old = configuration.keys.get(key_id)
    if old is None:
        return Err(KeyRefusal.KEY_UNKNOWN)
    if old.withdrawn:
        return Err(KeyRefusal.KEY_WITHDRAWN)
    if old.expires_at is not None and old.expires_at <= now_s:
        return Err(KeyRefusal.KEY_EXPIRED)
    overlap_end = now_s + overlap_s
    if old.expires_at is not None:
        overlap_end = min(overlap_end, old.expires_at)
    key, text = _generate_key(old.organisation, None)
    delta = Delta(keys=(replace(old, expires_at=overlap_end), key))
    return Ok(IssuedKey(key, delta, text))


def withdraw_key(
    configuration: Configuration, key_id: KeyId
) -> Result[Delta, KeyRefusal]:
    """Return the delta that withdraws a key permanently."""
    key = configuration.keys.get(key_id)
    if key is None:
        return Err(KeyRefusal.KEY_UNKNOWN)
    if key.withdrawn:
        return Err(KeyRefusal.KEY_WITHDRAWN)
    return Ok(Delta(keys=(replace(key, withdrawn=True),)))


def build_opaque_key(text: str, organisation: OrganisationId) -> ApiKey:
    """Build the key of a text issued by another system, the same on all daemons."""
    digest = digest_opaque(text)
    return ApiKey(derive_opaque_key_id(digest), organisation, digest)


def _generate_key(
    organisation: OrganisationId, expires_at: float | None
) -> tuple[ApiKey, str]:
    key_id = KeyId(token_hex(KEY_ID_BYTES))
    secret = token_hex(SECRET_BYTES)
    key = ApiKey(key_id, organisation, digest_secret(secret), False, expires_at)
    return key, f"{KEY_PREFIX}_{key_id}_{secret}"
