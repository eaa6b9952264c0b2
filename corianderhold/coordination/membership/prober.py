"""Choose whom to probe, and remember the probes that wait for an answer."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from corianderhold.coordination.membership.const import RELAY_LIMIT, RELAY_TIMEOUT_S
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Address, Member

NUMBER_BITS = 62


@dataclass
class Probe:
    """A ping that waits for its answer; times are active seconds."""

    number: int
    instance: InstanceId
    indirect_at_s: float
    fails_at_s: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class Relay:
    """A ping sent on behalf of another member."""

    requester: Address
    number: int
    expires_at_s: float


def draw_number(random: Random) -> int:
    """Return a number that an outsider cannot guess from earlier ones in time."""
    return random.getrandbits(NUMBER_BITS)


class ProbeRotation:
    """Go through all other members in a random order, again and again."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._order: list[InstanceId] = []
        self._known: set[InstanceId] = set()

    def pick(self, candidates: Sequence[Member]) -> Member | None:
        """
        Return the next of the candidates, or None where there are none.

        New ones get a random place in the current round, so that each is probed soon.
        """
        if not candidates:
            return None
        by_instance = {member.instance: member for member in candidates}
        for instance in by_instance:
            if instance not in self._known:
                place = self._random.randrange(len(self._order) + 1)
                self._order.insert(place, instance)
        self._known = set(by_instance)
        while True:
            if not self._order:
                self._order = list(by_instance)
                self._random.shuffle(self._order)
            member = by_instance.get(self._order.pop())
            if member is not None:
                return member


class RelayBook:
    """Remember for whom pings were relayed."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def is_full(self, active_s: float) -> bool:
        """Return whether too many relayed pings wait for their answer."""
        for number, relay in list(self._relays.items()):
            if relay.expires_at_s <= active_s:
                del self._relays[number]
        return len(self._relays) >= RELAY_LIMIT

    def add(
        self, own_number: int, requester: Address, number: int, active_s: float
    ) -> None:
        """Note a relayed ping."""
        self._relays[own_number] = Relay(requester, number, active_s + RELAY_TIMEOUT_S)

    def take(self, own_number: int) -> Relay | None:
        """Return and forget the relayed ping that an answer belongs to."""
        return self._relays.pop(own_number, None)
