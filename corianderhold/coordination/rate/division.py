"""Divide an organisation's rate and burst between the entries of the fleet."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    COUNT_SETTLE_LIMIT_S,
    COUNT_SETTLE_S,
    DEAD_COUNTED_S,
    HOLDER_CAPACITY,
    HOLDER_RATE,
    RECOUNT_INTERVAL_S,
)
from corianderhold.ids import FailureDomainId, InstanceId, OrganisationId
from corianderhold.state.configuration.model import Organisation
from corianderhold.state.membership.model import Member, Members, MemberState

LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Division(Protocol):
    """Say which part of an organisation's rate and burst one entry holds."""

    def refresh(self) -> bool:
        """Look again at what the division depends on; return whether it changed."""

    def is_settled(self) -> bool:
        """Return whether the parts are known, as of the last refresh."""

    def find_part(self, organisation: Organisation) -> float:
        """Return the part from 0 to 1 that this entry holds now."""

    def list_holders(self, organisation: Organisation) -> frozenset[InstanceId] | None:
        """Return the entries that hold a part; None for all."""


class FixedSlots:
    """
    Divide each failure domain's share by the number of its entry slots.

    `entry_slots` is the highest number of daemons that ever run at once in the
    domain, as the operator sets it. The parts never add up to more than the whole.
    """

    def __init__(self, domain: FailureDomainId, entry_slots: int) -> None:
        self._domain = domain
        self._entry_slots = entry_slots

    def refresh(self) -> bool:
        """Depend on nothing that changes."""
        return False

    def is_settled(self) -> bool:
        """Know the parts from the start."""
        return True

    def find_part(self, organisation: Organisation) -> float:
        """Return 1/`entry_slots` of the domain's share."""
        return organisation.shares.get(self._domain, 0.0) / self._entry_slots

    def list_holders(self, organisation: Organisation) -> None:
        """Let all entries hold a part."""


@dataclass(frozen=True)
class _Count:
    """The members that are counted, and the holders found among them."""

    domains: dict[InstanceId, FailureDomainId]
    holders: dict[tuple[OrganisationId, int], frozenset[InstanceId]] = field(
        default_factory=dict
    )

    @cached_property
    def domains_number(self) -> int:
        """Return in how many failure domains the members are."""
        return len(set(self.domains.values()))

    def find_holders(
        self, organisation: OrganisationId, number: int
    ) -> frozenset[InstanceId]:
        """Return that many holders, chosen alike by all, spread over the domains."""
        known = self.holders.get((organisation, number))
        if known is None:
            known = self._choose(organisation, number)
            self.holders[organisation, number] = known
        return known

    def _choose(
        self, organisation: OrganisationId, number: int
    ) -> frozenset[InstanceId]:
        ranks: Counter[FailureDomainId] = Counter()
        order: list[tuple[int, int, InstanceId]] = []
        for instance in sorted(
            self.domains, key=lambda each: _weigh(organisation, each)
        ):
            domain = self.domains[instance]
            order.append((ranks[domain], len(order), instance))
            ranks[domain] += 1
        return frozenset(instance for _, _, instance in sorted(order)[:number])


class CountedMembers:
    """
    Divide the whole by the number of members that this daemon knows.

    Where an equal part would hold or make too few tokens, fewer members hold a larger
    one, the same ones at all daemons: what is below a whole token can't be used, and
    after a start no slice has one for as long as its rate takes to make it. `slack` is
    what the burst is raised by. A member that is taken for dead counts for
    DEAD_COUNTED_S: it may be cut off and admit. Nothing is held before the count of a
    daemon that started has settled: at once where `list_announced` gives the fleet that
    an earlier start of it belonged to, all of which count, and else when no more
    members are found. While two daemons count differently, the parts may add up to more
    than the whole.
    """

    def __init__(
        self,
        instance: InstanceId,
        domain: FailureDomainId,
        members: Members,
        clock: Clock,
        slack: float = 0.0,
        list_announced: Callable[[], tuple[Member, ...]] = tuple,
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._members = members
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._grew_at = self._started_at
        self._slack = slack
        self._list_announced = list_announced
        self._seen_at: dict[InstanceId, float] = {}
        self._counted_members: tuple[Member, ...] = ()
        self._recount_at = float("-inf")
        self._count = _Count({})
        self._settled = False

    def refresh(self) -> bool:
        """Count the members that may admit requests; return whether it changed."""
        now = self._clock.read_monotonic()
        members = self._members.list_members()
        unchanged = members is self._counted_members and now < self._recount_at
        if unchanged and self._settled:
            return False
        self._counted_members, self._recount_at = members, now + RECOUNT_INTERVAL_S
        before, was_settled = self._count.domains, self._settled
        domains = dict(before)
        for member in members:
            domains[member.instance] = member.domain
            if member.state in LIVE_STATES:
                self._seen_at[member.instance] = now
            elif member.state is MemberState.LEFT:
                self._seen_at.pop(member.instance, None)
            else:
                self._seen_at.setdefault(member.instance, now)
        announced = () if self._settled else self._list_announced()
        for member in announced:
            domains[member.instance] = member.domain
            self._seen_at.setdefault(member.instance, now)
        self._seen_at[self._instance] = now
        domains[self._instance] = self._domain
        for instance, seen_at in list(self._seen_at.items()):
            if now - seen_at >= DEAD_COUNTED_S:
                del self._seen_at[instance]
        if len(self._seen_at) > len(before):
            self._grew_at = now
        counted = {instance: domains[instance] for instance in self._seen_at}
        if counted != before:
            self._count = _Count(counted)
        self._settled = self._settled or bool(announced) or self._counts_all(now)
        return counted != before or self._settled != was_settled

    def is_settled(self) -> bool:
        """Return whether the count has settled once, COUNT_SETTLE_LIMIT_S at most."""
        return self._settled

    def find_part(self, organisation: Organisation) -> float:
        """Return an equal part for each holder, 0 before the count has settled."""
        if not self._settled:
            return 0.0
        holders = self.list_holders(organisation)
        if holders is None:
            return 1 / len(self._count.domains)
        return 1 / len(holders) if self._instance in holders else 0.0

    def list_holders(self, organisation: Organisation) -> frozenset[InstanceId] | None:
        """Return the members that hold a part, None for all; from any thread."""
        count = self._count
        capacity = organisation.burst + self._slack
        number = int(min(capacity / HOLDER_CAPACITY, organisation.rate / HOLDER_RATE))
        # One in each domain, so that one that is cut off can go on admitting.
        number = max(1, number, min(count.domains_number, int(capacity)))
        if number >= len(count.domains):
            return None
        return count.find_holders(organisation.name, number)

    def _counts_all(self, now: float) -> bool:
        """Return whether others are known and no more were found for a time."""
        if len(self._seen_at) > 1 and now - self._grew_at >= COUNT_SETTLE_S:
            return True
        return now - self._started_at >= COUNT_SETTLE_LIMIT_S


def _weigh(organisation: OrganisationId, instance: InstanceId) -> bytes:
    """Return the rendezvous weight of an instance for an organisation."""
    return blake2b(f"{organisation}\0{instance}".encode(), digest_size=8).digest()
