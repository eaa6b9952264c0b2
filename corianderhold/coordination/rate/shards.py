"""Name the lease shards of the rate stewards."""

from typing import Protocol
from zlib import crc32

from corianderhold.ids import FailureDomainId, InstanceId, OrganisationId
from corianderhold.state.lease.model import ShardId

SHARDS_PER_DOMAIN = 2


def name_shard(domain: FailureDomainId, organisation: OrganisationId) -> ShardId:
    """Return the shard whose holder is the organisation's steward in a domain."""
    number = crc32(organisation.encode()) % SHARDS_PER_DOMAIN
    return ShardId(f"rate/{domain}/{number}")


def list_shards(domain: FailureDomainId) -> list[ShardId]:
    """Return all rate shards of a domain."""
    return [ShardId(f"rate/{domain}/{number}") for number in range(SHARDS_PER_DOMAIN)]


class LeaseGuard(Protocol):
    """Answer whether this daemon holds a shard."""

    def find_tenure(self, shard: ShardId) -> int | None:
        """
        Return the term in which this daemon took the shard, None if it may not act.

        The answer holds for no time at all: call it before each use.
        """

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        """Return the instance that this daemon believes to be the holder."""
