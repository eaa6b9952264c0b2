"""Queue announcements to be passed on a limited number of times."""

import math
from dataclasses import dataclass

from corianderhold.coordination.membership.const import RETRANSMIT_EXTRA
from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.codec import encode_claim, encode_member
from corianderhold.state.membership.model import Member, MemberState

LIST_ITEM_BYTES = 2  # the length of one update in a datagram


@dataclass
class Broadcast:
    """One encoded update, short for a claim only, and how often it was sent."""

    data: bytes
    short: bool
    order: int
    transmissions: int = 0


def compute_transmission_limit(members: int) -> int:
    """
    Return how often each daemon passes on one update.

    With ln(n) + c random transmissions each, an update misses e^-c of n members on
    average; synchronisation brings it to them.
    """
    return math.ceil(math.log(max(1, members))) + RETRANSMIT_EXTRA


class BroadcastQueue:
    """Keep the newest update of each instance; the least sent goes first."""

    def __init__(self) -> None:
        self._broadcasts: dict[InstanceId, Broadcast] = {}
        self._added = 0

    def __len__(self) -> int:
        return len(self._broadcasts)

    def add(self, member: Member) -> None:
        """
        Queue an update in place of an older one of the same instance.

        A suspicion goes without the announcement, which others have already.
        """
        self._added += 1
        short = member.state is MemberState.SUSPECT
        data = encode_claim(member) if short else encode_member(member)
        self._broadcasts[member.instance] = Broadcast(data, short, -self._added)

    def take(self, room_bytes: int, limit: int) -> list[Broadcast]:
        """Return updates that fit into `room_bytes` and count them as sent."""
        ranked = sorted(
            self._broadcasts.items(),
            key=lambda item: (item[1].transmissions, item[1].order),
        )
        taken: list[Broadcast] = []
        for instance, broadcast in ranked:
            size_bytes = len(broadcast.data) + LIST_ITEM_BYTES
            if size_bytes > room_bytes:
                continue
            room_bytes -= size_bytes
            taken.append(broadcast)
            broadcast.transmissions += 1
            if broadcast.transmissions >= limit:
                del self._broadcasts[instance]
        return taken
