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
    DEAD_MEMBER_RETENTION_S,
    RECOUNT_INTERVAL_S,
    SLICE_CAPACITY_MIN,
    SLICE_RATE_MIN_PER_S,
)
from corianderhold.ids import FailureDomainId, InstanceId, OrganisationId
from corianderhold.state.configuration.model import Organisation
from corianderhold.state.membership.model import Member, MemberDirectory, MemberState

LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Division(Protocol):
    """Compute the fraction of an organisation's rate and burst held by one entry."""

    def refresh(self) -> bool:
        """Update the inputs of the division; return whether they changed."""

    def is_settled(self) -> bool:
        """Return whether the fractions are known, as of the last refresh."""

    def compute_fraction(self, organisation: Organisation) -> float:
        """Return the fraction, from 0 to 1, that this entry holds now."""

    def list_slice_holders(
        self, organisation: Organisation
    ) -> frozenset[InstanceId] | None:
        """Return the entries that hold a slice, None for all."""


class FixedSlotDivision:
    """
    Divide each failure domain's share by the number of its entry slots.

    `entry_slots` is the highest number of daemons that ever run at the same time in
    the domain, set by the operator. The fractions never add up to more than 1.
    """

    def __init__(self, domain: FailureDomainId, entry_slots: int) -> None:
        self._domain = domain
        self._entry_slots = entry_slots

    def refresh(self) -> bool:
        """Return False, as the division is fixed."""
        return False

    def is_settled(self) -> bool:
        """Return True, as the fractions are known from the start."""
        return True

    def compute_fraction(self, organisation: Organisation) -> float:
        """Return 1/`entry_slots` of the domain's share."""
        return organisation.shares.get(self._domain, 0.0) / self._entry_slots

    def list_slice_holders(self, organisation: Organisation) -> None:
        """Return None, as all entries hold a slice."""


@dataclass(frozen=True)
class _MemberCount:
    """The members counted, and a cache of the slice holders chosen among them."""

    domains: dict[InstanceId, FailureDomainId]
    holders: dict[tuple[OrganisationId, int], frozenset[InstanceId]] = field(
        default_factory=dict
    )

    @cached_property
    def domains_number(self) -> int:
        """Return the number of failure domains of the members."""
        return len(set(self.domains.values()))

    def find_holders(
        self, organisation: OrganisationId, number: int
    ) -> frozenset[InstanceId]:
        """Return `number` holders spread over the domains, the same at all daemons."""
        known = self.holders.get((organisation, number))
        if known is None:
            known = self._choose_holders(organisation, number)
            self.holders[organisation, number] = known
        return known

    def _choose_holders(
        self, organisation: OrganisationId, number: int
    ) -> frozenset[InstanceId]:
        ranks: Counter[FailureDomainId] = Counter()
        order: list[tuple[int, int, InstanceId]] = []
        for instance in sorted(
            self.domains, key=lambda each: _hash_pair(organisation, each)
        ):
            domain = self.domains[instance]
            order.append((ranks[domain], len(order), instance))
            ranks[domain] += 1
        return frozenset(instance for _, _, instance in sorted(order)[:number])


class MemberCountDivision:
    """
    Divide rate and burst equally between the members that this daemon knows.

    If an equal slice would hold or accrue too few tokens, fewer members hold larger
    slices, the same members at all daemons: less than a whole token can't be used, and
    a new slice has none until its rate has accrued one. `slack` is added to the burst,
    in requests.

    A member considered dead still counts for DEAD_MEMBER_RETENTION_S, because it may be
    partitioned and still admit requests. One that leaves counts for `leaving_s`, in
    seconds, while it still admits. A daemon that has just started holds nothing until
    its count has settled. If `list_logged_members` returns the fleet known from an
    earlier run, all its members count and the count is settled at once; otherwise it
    settles when no further members are found. While two daemons count different
    members, the fractions may add up to more than 1.
    """

    def __init__(
        self,
        instance: InstanceId,
        domain: FailureDomainId,
        members: MemberDirectory,
        clock: Clock,
        slack: float = 0.0,
        list_logged_members: Callable[[], tuple[Member, ...]] = tuple,
        leaving_s: float = 0.0,
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._members = members
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._grew_at = self._started_at
        self._slack = slack
        self._list_announced = list_logged_members
        self._leaving_s = leaving_s
        self._seen_at: dict[InstanceId, float] = {}
        self._left_at: dict[InstanceId, float] = {}
        self._counted_members: tuple[Member, ...] = ()
        self._recount_at = float("-inf")
        self._count = _MemberCount({})
        self._settled = False

    def refresh(self) -> bool:
        """Count the members that may admit requests; return whether this changed."""
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
            self._record_state(member, now)
        announced = () if self._settled else self._list_announced()
        for member in announced:
            domains[member.instance] = member.domain
            self._seen_at.setdefault(member.instance, now)
        self._seen_at[self._instance] = now
        domains[self._instance] = self._domain
        for instance, seen_at in list(self._seen_at.items()):
            if now - seen_at >= DEAD_MEMBER_RETENTION_S:
                del self._seen_at[instance]
        for instance in self._left_at.keys() - domains.keys():
            del self._left_at[instance]
        if len(self._seen_at) > len(before):
            self._grew_at = now
        counted = {instance: domains[instance] for instance in self._seen_at}
        if counted != before:
            self._count = _MemberCount(counted)
        self._settled = self._settled or bool(announced) or self._has_settled(now)
        return counted != before or self._settled != was_settled

    def is_settled(self) -> bool:
        """Return whether the count has settled; it does within COUNT_SETTLE_LIMIT_S."""
        return self._settled

    def compute_fraction(self, organisation: Organisation) -> float:
        """Return an equal fraction for each holder, 0 before the count has settled."""
        if not self._settled:
            return 0.0
        holders = self.list_slice_holders(organisation)
        if holders is None:
            return 1 / len(self._count.domains)
        return 1 / len(holders) if self._instance in holders else 0.0

    def list_slice_holders(
        self, organisation: Organisation
    ) -> frozenset[InstanceId] | None:
        """Return the members that hold a slice, None for all; thread-safe."""
        count = self._count
        capacity = organisation.burst + self._slack
        number = int(
            min(capacity / SLICE_CAPACITY_MIN, organisation.rate / SLICE_RATE_MIN_PER_S)
        )
        # One holder per domain, so that a partitioned domain can still admit requests.
        number = max(1, number, min(count.domains_number, int(capacity)))
        if number >= len(count.domains):
            return None
        return count.find_holders(organisation.name, number)

    def _record_state(self, member: Member, now: float) -> None:
        """Record that a member counts, or no longer if it has left."""
        instance = member.instance
        if member.state in LIVE_STATES:
            self._seen_at[instance] = now
        if member.state is not MemberState.LEFT:
            self._left_at.pop(instance, None)
        elif now - self._left_at.setdefault(instance, now) >= self._leaving_s:
            self._seen_at.pop(instance, None)
            return
        self._seen_at.setdefault(instance, now)

    def _has_settled(self, now: float) -> bool:
        """
        Return whether no further member was found for COUNT_SETTLE_S.

        A daemon that knows no other member waits for COUNT_SETTLE_LIMIT_S.
        """
        if len(self._seen_at) > 1 and now - self._grew_at >= COUNT_SETTLE_S:
            return True
        return now - self._started_at >= COUNT_SETTLE_LIMIT_S


def _hash_pair(organisation: OrganisationId, instance: InstanceId) -> bytes:
    """Return the rendezvous hash of an instance for an organisation."""
    return blake2b(f"{organisation}\0{instance}".encode(), digest_size=8).digest()
