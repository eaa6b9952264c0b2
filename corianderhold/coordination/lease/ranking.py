"""Rank the daemons of a failure domain for a shard by rendezvous hashing."""

from hashlib import blake2b

from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.lease.model import ShardId
from corianderhold.state.membership.model import Member, Members, MemberState


def rank_members(
    members: Members, domain: FailureDomainId, shard: ShardId
) -> list[Member]:
    """Return the live members of a domain, the best candidate first."""
    live = [
        member
        for member in members.list_members()
        if member.domain == domain and member.state is MemberState.ALIVE
    ]
    return sorted(live, key=lambda member: _hash_pair(shard, member.instance))


def _hash_pair(shard: ShardId, instance: InstanceId) -> bytes:
    """Return the weight of an instance for a shard."""
    return blake2b(f"{shard}\0{instance}".encode(), digest_size=8).digest()
