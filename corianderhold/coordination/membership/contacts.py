"""Choose whom to contact outside the live members: seeds, logged and dead members."""

from random import Random

from corianderhold.coordination.membership.const import CONTACT_LIMIT
from corianderhold.state.membership.model import Address, MemberState
from corianderhold.state.membership.table import MemberView


class ContactBook:
    """Keep the gossip addresses of seeds, and the last ones read from the log."""

    def __init__(self, seeds: tuple[Address, ...], random: Random) -> None:
        self._seeds = list(seeds)
        self._logged: list[Address] = []
        self._random = random

    def replace_logged(self, addresses: tuple[Address, ...]) -> None:
        """Keep the newest addresses of the log in place of the earlier ones."""
        self._logged = list(addresses[-CONTACT_LIMIT:])

    def pick(self, view: MemberView, own: Address) -> Address | None:
        """Return one address at which nobody is known to be alive, or None."""
        live = {member.gossip_address for member in view.live}
        live.add(own)
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
