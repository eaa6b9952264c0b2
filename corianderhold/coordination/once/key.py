"""Parse idempotency keys and map them to lease shards."""

import hashlib
from dataclasses import dataclass
from uuid import UUID
from zlib import crc32

from result import Err, Ok, Result

from corianderhold.coordination.call import CallContext, RequestBody
from corianderhold.coordination.lease.ranking import MemberFilter, accept_all
from corianderhold.coordination.once.const import KEY_VERSION, SHARD_COUNT
from corianderhold.ids import OrganisationId, RouteName
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.lease.model import ShardId

MILLISECONDS = 1000
TIME_SHIFT_BITS = 80


@dataclass(frozen=True)
class IdempotencyKey:
    """
    An idempotency key within its scope of organisation and route.

    `made_at` is the timestamp of the UUID, in seconds since the Unix epoch.
    """

    organisation: OrganisationId
    route: RouteName
    uuid: UUID

    @property
    def made_at(self) -> float:
        """Return the timestamp in the first 48 bits, which are in milliseconds."""
        return (self.uuid.int >> TIME_SHIFT_BITS) / MILLISECONDS


def parse_idempotency_key(context: CallContext) -> Result[IdempotencyKey, Refusal]:
    """Return the request's key, or refuse one that is not a UUID of version 7."""
    try:
        uuid = UUID(context.idempotency_key or "")
    except ValueError:
        uuid = UUID(int=0)
    if uuid.version != KEY_VERSION:
        detail = "Idempotency-Key: accepted: a UUID of version 7 (RFC 9562)"
        return Err(refuse_not_run(Reason.REQUEST_MALFORMED, detail=detail))
    return Ok(IdempotencyKey(context.organisation, context.route, uuid))


def find_shard(key: IdempotencyKey) -> ShardId:
    """Return the shard whose holder records a key."""
    text = f"{key.organisation}\0{key.route}\0{key.uuid}"
    return ShardId(f"once/{crc32(text.encode()) % SHARD_COUNT}")


def list_shards() -> dict[ShardId, MemberFilter]:
    """Return all shards of idempotency keys with the filters of their candidates."""
    return {ShardId(f"once/{number}"): accept_all for number in range(SHARD_COUNT)}


def compute_fingerprint(context: CallContext, body: RequestBody) -> bytes:
    """Return a digest that distinguishes different requests under one key."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{context.method}\0{context.path}\0{body.length}\0".encode())
    digest.update(body.inline or b"")
    return digest.digest()
