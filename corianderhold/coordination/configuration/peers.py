"""Select the daemons that read the log and the peers to exchange with."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    ALL_POLL_DELAY_S,
    ALL_POLL_MEMBERS,
    CROSS_DOMAIN_NEIGHBOURS,
    CROSS_DOMAIN_PUSH_FANOUT,
    LARGE_FLEET_PUSH_FANOUT,
    PARENT_ARITY,
    PEERS_REFRESH_INTERVAL_S,
    POLLERS_PER_DOMAIN,
    PUSH_FANOUT,
    SAME_DOMAIN_NEIGHBOURS,
)
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.membership.model import Member, MemberDirectory, MemberState

WEIGHT_BYTES = 8


def compute_weight(key: str, instance: InstanceId) -> bytes:
    """Return the rendezvous weight of an instance for a key."""
    return blake2b(f"{key}/{instance}".encode(), digest_size=WEIGHT_BYTES).digest()


def rank_instances(key: str, instances: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances in order of rendezvous weight for a key, best first."""
    return sorted(instances, key=lambda instance: compute_weight(key, instance))


@dataclass(frozen=True)
class PeerSelection:
    """
    Peers selected from one view of the members.

    `rank` is the position of this daemon among the live members of its domain, `live`
    the number of all live members. `near` are neighbours in the same domain, `far` in
    others. `parent` is the peer of the same domain that learns of new records sooner,
    None for the pollers of the domain.
    """

    rank: int = 0
    live: int = 1
    parent: Member | None = None
    near: tuple[Member, ...] = ()
    far: tuple[Member, ...] = ()


class PeerSelector:
    """Select peers from the view of the members, refreshed periodically."""

    def __init__(
        self,
        instance: InstanceId,
        domain: FailureDomainId,
        members: MemberDirectory,
        clock: Clock,
        random: Random,
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._members = members
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._selection = PeerSelection()
        self._refresh_at = float("-inf")
        self._started_at = clock.read_monotonic()

    def is_poller(self) -> bool:
        """Return whether this daemon polls the log continuously."""
        return self.all_members_poll() or self.is_domain_poller()

    def all_members_poll(self) -> bool:
        """Return whether the fleet is small enough for every daemon to poll the log."""
        if self._clock.read_monotonic() - self._started_at < ALL_POLL_DELAY_S:
            return False
        return self._read_selection().live <= ALL_POLL_MEMBERS

    def is_domain_poller(self) -> bool:
        """Return whether this daemon polls the log on behalf of its domain."""
        return self._read_selection().rank < POLLERS_PER_DOMAIN

    def pick_parent(self) -> Member | None:
        """Return the parent in the distribution tree, or None for a poller."""
        return self._read_selection().parent

    def pick_same_domain(self) -> Member | None:
        """Return a random neighbour in the same domain, or None without any."""
        return self._pick_random(self._read_selection().near)

    def pick_cross_domain(self) -> Member | None:
        """Return a random neighbour in another domain, or None without any."""
        return self._pick_random(self._read_selection().far)

    def pick_any(self) -> Member | None:
        """Return any member, dead ones included, so that partitions can heal."""
        others = [
            member
            for member in self._members.list_members()
            if member.instance != self._instance
            and member.state is not MemberState.LEFT
        ]
        return self._pick_random(others)

    def pick_push_targets(self) -> list[Member]:
        """Return neighbours to push to; pollers also push to other domains."""
        selection = self._read_selection()
        pushes = (
            PUSH_FANOUT
            if selection.live <= ALL_POLL_MEMBERS
            else LARGE_FLEET_PUSH_FANOUT
        )
        near = self._random.sample(selection.near, min(pushes, len(selection.near)))
        if near and selection.rank >= POLLERS_PER_DOMAIN:
            return near
        far = self._random.sample(
            selection.far, min(CROSS_DOMAIN_PUSH_FANOUT, len(selection.far))
        )
        return near + far

    def compute_own_rank(self, key: str) -> int:
        """Return the rank of this daemon among all live members for a key."""
        weight = compute_weight(key, self._instance)
        return sum(
            compute_weight(key, member.instance) < weight for member in self.list_live()
        )

    def list_live(self) -> list[Member]:
        """Return the other members that are alive."""
        return [
            member
            for member in self._members.list_members()
            if member.state is MemberState.ALIVE and member.instance != self._instance
        ]

    def _pick_random(self, members: Iterable[Member]) -> Member | None:
        candidates = list(members)
        return self._random.choice(candidates) if candidates else None

    def _read_selection(self) -> PeerSelection:
        now = self._clock.read_monotonic()
        with self._lock:
            if (
                now >= self._refresh_at
                or not self._selection.near + self._selection.far
            ):
                self._selection = self._select()
                self._refresh_at = now + PEERS_REFRESH_INTERVAL_S
            return self._selection

    def _select(self) -> PeerSelection:
        """Select neighbours; the selection is stable while the members are."""
        live = {member.instance: member for member in self.list_live()}
        near = {name for name in live if live[name].domain == self._domain}
        order = rank_instances("poll", (*near, self._instance))
        rank = order.index(self._instance)
        parent = None
        if rank >= POLLERS_PER_DOMAIN:
            parent = live[order[(rank - POLLERS_PER_DOMAIN) // PARENT_ARITY]]
        key = f"neighbour/{self._instance}"
        ranked_near = rank_instances(key, near)[:SAME_DOMAIN_NEIGHBOURS]
        ranked_far = rank_instances(key, set(live) - near)[:CROSS_DOMAIN_NEIGHBOURS]
        return PeerSelection(
            rank,
            len(live) + 1,
            parent,
            tuple(live[name] for name in ranked_near),
            tuple(live[name] for name in ranked_far),
        )
