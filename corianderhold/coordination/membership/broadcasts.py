"""Queue announcements for gossip, each with a limited number of transmissions."""

import math
from dataclasses import dataclass

from corianderhold.coordination.membership.const import (
    CROSS_DOMAIN_COPIES,
    OWN_DOMAIN_EXTRA_TRANSMISSIONS,
    OWN_DOMAIN_PRIORITY_TRANSMISSIONS,
    RETRANSMIT_EXTRA,
)
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.protocol.membership.codec import encode_claim, encode_member
from corianderhold.state.membership.model import Member, MemberState

LIST_ITEM_BYTES = 2  # length prefix of an update in a datagram


@dataclass
class Broadcast:
    """
    Encoded update and the number of its transmissions.

    `near` counts transmissions within the own failure domain, `far` those to others.
    `is_own_domain` is set for updates about members of the own domain, `claim_only` for
    a claim without the full announcement.
    """

    data: bytes
    claim_only: bool
    order: int
    is_own_domain: bool
    near: int = 0
    far: int = 0


@dataclass(frozen=True)
class TransmissionLimits:
    """Transmissions of an update by each daemon, in its domain and to others."""

    near: int
    far: int


def compute_transmission_limits(near: int, far_domains: int) -> TransmissionLimits:
    """
    Return the limits for a domain with `near` live members, this daemon included.

    With ln(n) + c random transmissions each, an update misses e^-c of the n members of
    its domain on average. Together they send CROSS_DOMAIN_COPIES copies to each of the
    `far_domains` other domains. Synchronisation reaches the members that were missed.
    """
    limit = math.ceil(math.log(near)) + RETRANSMIT_EXTRA if near > 1 else 0
    return TransmissionLimits(
        limit, math.ceil(CROSS_DOMAIN_COPIES * far_domains / max(1, near))
    )


class BroadcastQueue:
    """
    Keep the newest update of each instance; the least transmitted one goes first.

    Within a domain, updates about its own members take precedence by
    OWN_DOMAIN_PRIORITY_TRANSMISSIONS and are sent OWN_DOMAIN_EXTRA_TRANSMISSIONS times
    more.

    Updates about members of other domains are gossiped within the own domain only:
    each domain sends its own updates to the others.
    """

    def __init__(self, domain: FailureDomainId) -> None:
        self._domain = domain
        self._broadcasts: dict[InstanceId, Broadcast] = {}
        self._added = 0

    def __len__(self) -> int:
        return len(self._broadcasts)

    def add(self, member: Member) -> None:
        """
        Queue an update, replacing an older one of the same instance.

        A suspicion is sent as a claim only, as others have the announcement already.
        """
        self._added += 1
        short = member.state is MemberState.SUSPECT
        data = encode_claim(member) if short else encode_member(member)
        self._broadcasts[member.instance] = Broadcast(
            data, short, -self._added, member.domain == self._domain
        )

    def has_pending(self, limits: TransmissionLimits, is_near: bool) -> bool:
        """Return whether updates are pending for the own domain or for others."""
        return any(
            self._is_pending(broadcast, limits, is_near)
            for broadcast in self._broadcasts.values()
        )

    def take(
        self, room_bytes: int, limits: TransmissionLimits, is_near: bool
    ) -> list[Broadcast]:
        """Return updates that fit into `room_bytes` and count their transmission."""
        ranked = sorted(
            (
                (self._compute_priority(broadcast, is_near), broadcast.order, name)
                for name, broadcast in self._broadcasts.items()
                if self._is_pending(broadcast, limits, is_near)
            ),
        )
        taken: list[Broadcast] = []
        for _, _, instance in ranked:
            broadcast = self._broadcasts[instance]
            size_bytes = len(broadcast.data) + LIST_ITEM_BYTES
            if size_bytes > room_bytes:
                continue
            room_bytes -= size_bytes
            taken.append(broadcast)
            if is_near:
                broadcast.near += 1
            else:
                broadcast.far += 1
            self._remove_if_sent(instance, limits)
        return taken

    def _remove_if_sent(self, instance: InstanceId, limits: TransmissionLimits) -> None:
        broadcast = self._broadcasts[instance]
        if not any(self._is_pending(broadcast, limits, near) for near in (True, False)):
            del self._broadcasts[instance]

    @staticmethod
    def _compute_priority(broadcast: Broadcast, is_near: bool) -> int:
        """Return the priority of an update; the lowest goes first."""
        if not is_near:
            return broadcast.far
        return broadcast.near - (
            OWN_DOMAIN_PRIORITY_TRANSMISSIONS if broadcast.is_own_domain else 0
        )

    @staticmethod
    def _is_pending(
        broadcast: Broadcast, limits: TransmissionLimits, is_near: bool
    ) -> bool:
        if is_near:
            extra = (
                OWN_DOMAIN_EXTRA_TRANSMISSIONS
                if broadcast.is_own_domain and limits.near
                else 0
            )
            return broadcast.near < limits.near + extra
        return broadcast.is_own_domain and broadcast.far < limits.far
