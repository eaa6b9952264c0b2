"""Map organisations to the lease shards of the rate stewards."""

from zlib import crc32

from corianderhold.coordination.lease.ranking import MemberFilter, accept_domain
from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.state.lease.model import ShardId

SHARDS_PER_DOMAIN = 2


def name_shard(domain: FailureDomainId, organisation: OrganisationId) -> ShardId:
    """Return the shard whose holder is the organisation's steward in a domain."""
    number = crc32(organisation.encode()) % SHARDS_PER_DOMAIN
    return ShardId(f"rate/{domain}/{number}")


def list_shards(domain: FailureDomainId) -> dict[ShardId, MemberFilter]:
    """Return all rate shards of a domain with the filters of their candidates."""
    return {
        ShardId(f"rate/{domain}/{number}"): accept_domain(domain)
        for number in range(SHARDS_PER_DOMAIN)
    }
