"""Choose addresses to contact besides live members: seeds, logged, dead members."""

from dataclasses import dataclass
from random import Random

from corianderhold.coordination.membership.const import (
    CONTACT_LIMIT,
    JOIN_NEAR_FANOUT,
    REVIVAL_PINGS_LIMIT,
    REVIVAL_PINGS_PER_TICK,
)
from corianderhold.ids import FailureDomainId
from corianderhold.state.membership.model import Address, MemberState
from corianderhold.state.membership.table import MemberView, is_refutable


@dataclass(frozen=True)
class Contact:
    """Gossip address at which a member may be reached, with its failure domain."""

    address: Address
    domain: FailureDomainId


def list_live_addresses(view: MemberView, own: Address) -> set[Address]:
    """Return the gossip addresses of this daemon and of all live members."""
    return {own, *(member.gossip_address for member in view.live)}


class ContactBook:
    """Keep the gossip addresses of the seeds and the last ones read from the log."""

    def __init__(
        self, seeds: tuple[Address, ...], domain: FailureDomainId, random: Random
    ) -> None:
        self._seeds = list(seeds)
        self._domain = domain
        self._logged: list[Address] = []
        self._logged_near: list[Address] = []
        self._revival_pings: list[Address] = []
        self._random = random

    def replace_logged(self, contacts: tuple[Contact, ...]) -> None:
        """Replace the logged contacts by the newest ones of the log."""
        near = [each.address for each in contacts if each.domain == self._domain]
        far = [each.address for each in contacts if each.domain != self._domain]
        self._logged_near = near[-CONTACT_LIMIT:]
        self._logged = far[-CONTACT_LIMIT:] + self._logged_near

    def sample_logged(
        self, count: int, view: MemberView, own: Address
    ) -> list[Address]:
        """
        Return random logged addresses without a known live member.

        Up to JOIN_NEAR_FANOUT of them are in the own failure domain.
        """
        live = list_live_addresses(view, own)
        near = [address for address in self._logged_near if address not in live]
        chosen = self._random.sample(near, min(count, JOIN_NEAR_FANOUT, len(near)))
        seen = live | set(near)
        unknown = [address for address in self._logged if address not in seen]
        left = min(count - len(chosen), len(unknown))
        return chosen + self._random.sample(unknown, left)

    def draw_revival_pings(self, view: MemberView) -> None:
        """Queue lost members for a ping: if one has returned, others may have too."""
        lost = [member for member in view.members if is_refutable(member)]
        count = min(REVIVAL_PINGS_LIMIT, len(lost))
        queued = self._random.sample(lost, count)
        self._revival_pings = [member.gossip_address for member in queued]

    def list_revival_pings(self, view: MemberView, own: Address) -> list[Address]:
        """Return queued addresses without a known unsuspected live member."""
        if self._revival_pings:
            healthy = {m.gossip_address for m in view.live if not is_refutable(m)} | {
                own
            }
            self._revival_pings = [a for a in self._revival_pings if a not in healthy]
        return self._revival_pings[:REVIVAL_PINGS_PER_TICK]

    def drop_revival_ping(self, address: Address) -> None:
        """Remove an address from the queue after it was pinged."""
        self._revival_pings.remove(address)

    def pick(self, view: MemberView, own: Address) -> Address | None:
        """Return a random address without a known live member, or None."""
        live = list_live_addresses(view, own)
        dead = [
            member.gossip_address
            for member in view.members
            if member.state is MemberState.DEAD and member.gossip_address not in live
        ]
        named = [
            address for address in self._seeds + self._logged if address not in live
        ]
        groups = [group for group in (named, dead) if group]
        if not groups:
            return None
        return self._random.choice(self._random.choice(groups))
