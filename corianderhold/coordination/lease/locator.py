"""Find the holder of a shard by hints, or else by rank."""

import threading

from corianderhold.coordination.lease.ranking import MemberFilter, rank_members
from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import ShardId
from corianderhold.state.membership.model import Address, Members, MemberState


class HolderLocator:
    """
    Keep the believed holder of each shard; thread-safe.

    A daemon that refused names the holder that it believes in, or the next rank is
    tried. A wrong belief costs a request, never safety.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._lock = threading.Lock()
        self._believed: dict[ShardId, InstanceId] = {}
        self._tried: dict[ShardId, int] = {}

    def locate_holder(
        self, accepts: MemberFilter, shard: ShardId
    ) -> tuple[InstanceId, Address] | None:
        """Return the instance to ask and its peer address."""
        with self._lock:
            believed = self._believed.get(shard)
            tried = self._tried.get(shard, 0)
        known = self._members.find_member(believed) if believed else None
        if known is not None and known.state is MemberState.ALIVE:
            return known.instance, known.peer_address
        ranked = rank_members(self._members, accepts, shard)
        if not ranked:
            return None
        member = ranked[tried % len(ranked)]
        return member.instance, member.peer_address

    def note_answer(
        self, shard: ShardId, asked: InstanceId, accepted: bool, hint: InstanceId
    ) -> None:
        """Learn from an answer; no answer is a refusal without a hint."""
        with self._lock:
            if accepted:
                self._believed[shard] = asked
                self._tried[shard] = 0
            elif hint and hint != asked:
                self._believed[shard] = hint
            else:
                self._believed.pop(shard, None)
                self._tried[shard] = self._tried.get(shard, 0) + 1
