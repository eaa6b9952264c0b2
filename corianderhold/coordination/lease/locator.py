"""Locate the holder of a shard by hints, or else by rank."""

import threading

from corianderhold.coordination.lease.ranking import MemberFilter, rank_members
from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import ShardId
from corianderhold.state.membership.model import Address, MemberDirectory, MemberState


class HolderLocator:
    """
    Cache the presumed holder of each shard; thread-safe.

    A daemon that refuses a request names the holder that it presumes; without such a
    hint the member of the next rank is tried. A wrong entry costs a request and does
    not affect safety.
    """

    def __init__(self, members: MemberDirectory) -> None:
        self._members = members
        self._lock = threading.Lock()
        self._presumed: dict[ShardId, InstanceId] = {}
        self._attempts: dict[ShardId, int] = {}

    def locate_holder(
        self, accepts: MemberFilter, shard: ShardId
    ) -> tuple[InstanceId, Address] | None:
        """Return the instance to contact and its peer address, None without members."""
        with self._lock:
            presumed = self._presumed.get(shard)
            attempts = self._attempts.get(shard, 0)
        known = self._members.find_member(presumed) if presumed else None
        if known is not None and known.state is MemberState.ALIVE:
            return known.instance, known.peer_address
        ranked = rank_members(self._members, accepts, shard)
        if not ranked:
            return None
        member = ranked[attempts % len(ranked)]
        return member.instance, member.peer_address

    def record_response(
        self, shard: ShardId, asked: InstanceId, accepted: bool, hint: InstanceId
    ) -> None:
        """Update the cache; no response counts as a refusal without a hint."""
        with self._lock:
            if accepted:
                self._presumed[shard] = asked
                self._attempts[shard] = 0
            elif hint and hint != asked:
                self._presumed[shard] = hint
            else:
                self._presumed.pop(shard, None)
                self._attempts[shard] = self._attempts.get(shard, 0) + 1
