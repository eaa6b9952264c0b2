"""Rank the candidates for a shard by rendezvous hashing."""

from collections.abc import Callable
from hashlib import blake2b

from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.lease.model import ShardId
from corianderhold.state.membership.model import Member, MemberDirectory, MemberState

MemberFilter = Callable[[Member], bool]


def accept_domain(domain: FailureDomainId) -> MemberFilter:
    """Return a filter that accepts the members of one failure domain."""
    return lambda member: member.domain == domain


def accept_all(member: Member) -> bool:
    """Accept every member."""
    return True


def rank_members(
    members: MemberDirectory, accepts: MemberFilter, shard: ShardId
) -> list[Member]:
    """Return the live members accepted by a filter, best rank first."""
    live = [
        member
        for member in members.list_members()
        if member.state is MemberState.ALIVE and accepts(member)
    ]
    return sorted(live, key=lambda member: _hash_pair(shard, member.instance))


def _hash_pair(shard: ShardId, instance: InstanceId) -> bytes:
    """Return the rendezvous hash of an instance for a shard."""
    return blake2b(f"{shard}\0{instance}".encode(), digest_size=8).digest()
