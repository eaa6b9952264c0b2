"""Add queued updates to datagrams and send them within the byte budget."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from corianderhold.coordination.membership.broadcasts import (
    BroadcastQueue,
    TransmissionLimits,
)
from corianderhold.coordination.membership.budget import ByteBudget
from corianderhold.coordination.membership.const import (
    BUDGET_BURST_BYTES,
    BUDGET_BYTES_PER_S,
    CROSS_DOMAIN_BURST_BYTES,
    DATAGRAM_LIMIT_BYTES,
    GOSSIP_RESERVE_BYTES,
    HEADER_BYTES,
    PROBE_RESERVE_BYTES,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.membership.authentication import (
    OVERHEAD_BYTES,
    DatagramAuthenticator,
)
from corianderhold.protocol.membership.codec import encode_datagram, encode_member
from corianderhold.protocol.membership.model import Datagram, DatagramKind
from corianderhold.state.membership.model import Address, Member

LISTS_BYTES = 4  # length prefixes of the lists of updates and claims


@dataclass(frozen=True)
class OutgoingDatagram:
    """Sealed datagram and its destination."""

    address: Address
    data: bytes


class DatagramSender:
    """
    Build datagrams of at most DATAGRAM_LIMIT_BYTES, headers included.

    Recipients in the own failure domain (near) get other updates than those in other
    domains (far), for which the burst is smaller. Probes and acks may spend the whole
    budget, pings to unknown addresses leave PROBE_RESERVE_BYTES of it, and gossip, with
    the updates that are piggybacked on other datagrams, GOSSIP_RESERVE_BYTES.
    """

    def __init__(
        self,
        seal: DatagramAuthenticator,
        broadcasts: BroadcastQueue,
        find_limits: Callable[[], TransmissionLimits],
        is_near: Callable[[Address], bool],
        metrics: Metrics,
        now_s: float,
    ) -> None:
        self._seal = seal
        self._broadcasts = broadcasts
        self._find_limits = find_limits
        self._is_near = is_near
        self._metrics = metrics
        self._budget = ByteBudget(BUDGET_BYTES_PER_S, BUDGET_BURST_BYTES, now_s)
        self._far_budget = ByteBudget(
            BUDGET_BYTES_PER_S, CROSS_DOMAIN_BURST_BYTES, now_s
        )
        self._outgoing: list[OutgoingDatagram] = []

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Return the datagrams to be sent since the last call."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def send(
        self,
        address: Address,
        datagram: Datagram,
        now_s: float,
        members: tuple[Member, ...] = (),
        urgent: bool = False,
    ) -> bool:
        """
        Queue a datagram with `members` and pending updates for sending.

        Returns False if it is over budget, or if it is gossip without updates. An
        `urgent` datagram leaves only PROBE_RESERVE_BYTES of the budget.
        """
        required = tuple(encode_member(member) for member in members)
        bare = replace(datagram, updates=required)
        size_bytes = len(encode_datagram(bare)) + OVERHEAD_BYTES + HEADER_BYTES
        is_near = self._is_near(address)
        available = self._budget.read_available(now_s)
        if not is_near:
            available = min(available, self._far_budget.read_available(now_s))
        is_gossip = datagram.kind is DatagramKind.GOSSIP and not members
        is_introduction = (
            datagram.kind is DatagramKind.PING and datagram.subject is None
        )
        updates_reserve = PROBE_RESERVE_BYTES if urgent else GOSSIP_RESERVE_BYTES
        allowed = available
        if is_gossip:
            allowed -= updates_reserve
        elif is_introduction:
            allowed -= PROBE_RESERVE_BYTES
        if size_bytes > min(allowed, DATAGRAM_LIMIT_BYTES):
            self._metrics.increment("membership_datagrams_over_budget")
            return False
        room = 0
        if not is_introduction:
            room = min(DATAGRAM_LIMIT_BYTES, int(available) - updates_reserve)
        queued = self._broadcasts.take(
            room - size_bytes - LISTS_BYTES, self._find_limits(), is_near
        )
        if is_gossip and not queued:
            return False
        updates = tuple(each.data for each in queued if not each.claim_only)
        claims = tuple(each.data for each in queued if each.claim_only)
        filled = replace(bare, updates=required + updates, claims=claims)
        data = self._seal.sign(encode_datagram(filled))
        self._budget.take(len(data) + HEADER_BYTES, now_s)
        if not is_near:
            self._far_budget.take(len(data) + HEADER_BYTES, now_s)
        self._outgoing.append(OutgoingDatagram(address, data))
        self._metrics.increment("membership_datagrams_sent")
        self._metrics.increment("membership_bytes_sent", len(data) + HEADER_BYTES)
        return True
