"""Define the probe rotation and track probes and relayed pings."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from corianderhold.coordination.membership.const import (
    LAST_HEARD_WINDOW_S,
    RELAY_LIMIT,
    RELAY_TIMEOUT_S,
)
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Address, Member

NUMBER_BITS = 62


@dataclass
class Probe:
    """Ping that waits for its ack; times are active seconds."""

    number: int
    instance: InstanceId
    sent_at_s: float
    indirect_at_s: float
    fails_at_s: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class Relay:
    """Ping sent on behalf of another member."""

    requester: Address
    number: int
    expires_at_s: float


def draw_number(random: Random) -> int:
    """Return a random number that outsiders cannot guess while it is in use."""
    return random.getrandbits(NUMBER_BITS)


class ProbeRotation:
    """Cycle through all other members in random order."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._order: list[InstanceId] = []
        self._known: set[InstanceId] = set()
        self._hastened: dict[InstanceId, None] = {}

    @property
    def has_prioritised(self) -> bool:
        """Return whether some members have priority."""
        return bool(self._hastened)

    def prioritise(self, instances: Iterable[InstanceId]) -> None:
        """Pick these members before the others."""
        self._hastened.update(dict.fromkeys(instances))

    def pick(self, candidates: Sequence[Member]) -> Member | None:
        """
        Return the next candidate, or None without any.

        New members get a random position in the current round, so that they are probed
        soon.
        """
        if not candidates:
            return None
        by_instance = {member.instance: member for member in candidates}
        for instance in by_instance:
            if instance not in self._known:
                index = self._random.randrange(len(self._order) + 1)
                self._order.insert(index, instance)
        self._known = set(by_instance)
        while self._hastened:
            hastened, _ = self._hastened.popitem()
            if hastened in by_instance:
                return by_instance[hastened]
        while True:
            if not self._order:
                self._order = list(by_instance)
                self._random.shuffle(self._order)
            member = by_instance.get(self._order.pop())
            if member is not None:
                return member


class ProbeHistory:
    """
    Record when members were last heard from, and the outcomes of probes.

    Times are active seconds. `failures` counts consecutive unanswered probes.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._heard_at_s: dict[InstanceId, float] = {}
        self._last_heard_at_s = float("-inf")

    def record_heard(self, instance: InstanceId, active_s: float) -> None:
        """Record a datagram from a member."""
        self._heard_at_s[instance] = active_s
        self._last_heard_at_s = active_s

    def record_outcome(self, answered: bool, active_s: float) -> None:
        """Record the outcome of a probe and drop members not heard from lately."""
        self.failures = 0 if answered else self.failures + 1
        for instance, heard_at_s in list(self._heard_at_s.items()):
            if heard_at_s < active_s - LAST_HEARD_WINDOW_S:
                del self._heard_at_s[instance]

    def has_heard_since(self, active_s: float) -> bool:
        """Return whether any datagram has arrived since `active_s`."""
        return self._last_heard_at_s >= active_s

    def read_age_s(self, instance: InstanceId, active_s: float) -> float | None:
        """Return the seconds since a member was heard, None if too long ago."""
        heard_at_s = self._heard_at_s.get(instance)
        return None if heard_at_s is None else active_s - heard_at_s

    def list_heard(self) -> list[InstanceId]:
        """Return members heard from within LAST_HEARD_WINDOW_S of the last outcome."""
        return list(self._heard_at_s)


class PendingRelays:
    """Track relayed pings and their requesters."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def is_full(self, active_s: float) -> bool:
        """Return whether RELAY_LIMIT relayed pings wait for their ack."""
        for number, relay in list(self._relays.items()):
            if relay.expires_at_s <= active_s:
                del self._relays[number]
        return len(self._relays) >= RELAY_LIMIT

    def add(
        self, own_number: int, requester: Address, number: int, active_s: float
    ) -> None:
        """Add a relayed ping."""
        self._relays[own_number] = Relay(requester, number, active_s + RELAY_TIMEOUT_S)

    def take(self, own_number: int) -> Relay | None:
        """Remove and return the relayed ping that an ack belongs to, or None."""
        return self._relays.pop(own_number, None)
