"""Merge announcements into a view that does not depend on their order."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from corianderhold.ids import InstanceId, ServiceName
from corianderhold.state.membership.const import DEAD_RETENTION_S, STATE_PRECEDENCE
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)

DEPARTED_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})
SERVING = TargetState.SERVING

OrderKey = tuple[int, int, int, tuple[str, ...]]


@dataclass(frozen=True)
class MemberView:
    """
    An immutable snapshot of the table.

    `records` are the announcements as received, `members` the resulting members.
    `owners` maps services to the members that may receive calls, including suspects.
    `dead_since` maps members to the monotonic time in seconds at which they were
    recorded as dead or left.
    """

    records: tuple[Member, ...] = ()
    members: tuple[Member, ...] = ()
    live: tuple[Member, ...] = ()
    owners: Mapping[ServiceName, tuple[Member, ...]] = field(default_factory=dict)
    dead_since: Mapping[InstanceId, float] = field(default_factory=dict)
    by_instance: Mapping[InstanceId, Member] = field(default_factory=dict)


def is_live(member: Member) -> bool:
    """Return whether a member is neither dead nor left."""
    return member.state not in DEPARTED_STATES


def is_refutable(member: Member) -> bool:
    """Return whether a record states that a member is suspect or dead."""
    return member.state is MemberState.SUSPECT or member.state is MemberState.DEAD


def compute_order_key(member: Member) -> OrderKey:
    """
    Return the sort key of announcements, which is greater for a newer one.

    The content only makes the order total: a daemon never announces different contents
    with the same incarnation and sequence.
    """
    content = (
        member.domain,
        member.region,
        str(member.peer_address),
        str(member.gossip_address),
        member.service or "",
        member.target_state.value,
    )
    precedence = STATE_PRECEDENCE[member.state]
    return member.incarnation, member.sequence, precedence, content


class MemberTable:
    """
    Keep the newest announcement of each instance.

    Announcements of one instance are ordered by incarnation, sequence and state. If two
    instances have the same peer address, the one with the lower incarnation is shown as
    dead. Both rules depend only on the set of announcements received, so the view is
    the same for any order and repetition.
    """

    def __init__(self, retention_s: float = DEAD_RETENTION_S) -> None:
        self._retention_s = retention_s
        self._records: dict[InstanceId, Member] = {}
        self._members: dict[InstanceId, Member] = {}
        self._by_address: dict[Address, set[InstanceId]] = {}
        self._dead_since: dict[InstanceId, float] = {}
        self._view: MemberView | None = None

    def merge(
        self, record: Member, now_s: float, dead_for_s: float = 0.0
    ) -> tuple[Member, ...]:
        """
        Merge an announcement and return the members that changed in the view.

        `dead_for_s` is how long the member has been dead according to another daemon,
        so that passing a dead member on does not prolong its retention.
        """
        known = self._records.get(record.instance)
        if known is not None and compute_order_key(record) <= compute_order_key(known):
            return ()
        if not is_live(record) and dead_for_s >= self._retention_s:
            return ()
        self._records[record.instance] = record
        addresses = {record.peer_address}
        if known is not None:
            addresses.add(known.peer_address)
            self._by_address[known.peer_address].discard(record.instance)
        self._by_address.setdefault(record.peer_address, set()).add(record.instance)
        affected = {record.instance}
        for address in addresses:
            affected |= self._by_address[address]
        return self._refresh(affected, now_s - dead_for_s)

    def count_live(self) -> int:
        """Return the number of live members."""
        return len(self._members) - len(self._dead_since)

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return a member as shown in the view, or None."""
        return self._members.get(instance)

    def find_superseding(self, announcement: Member) -> Member | None:
        """Return the record of another start that supersedes this one, or None."""
        known = self._records.get(announcement.instance)
        if known is not None and known.incarnation > announcement.incarnation:
            return known
        rank = (announcement.incarnation, announcement.instance)
        for instance in self._by_address.get(announcement.peer_address, ()):
            record = self._records[instance]
            if (record.incarnation, instance) > rank and instance != rank[1]:
                return record
        return None

    def evict_expired(self, now_s: float) -> tuple[Member, ...]:
        """Evict and return the members that were dead for the retention period."""
        evicted = []
        for instance, since in list(self._dead_since.items()):
            if now_s - since >= self._retention_s:
                evicted.append(self._members.pop(instance))
                record = self._records.pop(instance)
                self._by_address[record.peer_address].discard(instance)
                del self._dead_since[instance]
                self._view = None
        for address in [
            address for address, held in self._by_address.items() if not held
        ]:
            del self._by_address[address]
        return tuple(evicted)

    def read_view(self) -> MemberView:
        """Return the current view, which is rebuilt only after a change."""
        if self._view is None:
            self._view = self._build_view()
        return self._view

    def _refresh(
        self, instances: set[InstanceId], dead_at_s: float
    ) -> tuple[Member, ...]:
        changed = []
        for instance in sorted(instances):
            member = self._compute_member(self._records[instance])
            if member == self._members.get(instance):
                continue
            self._members[instance] = member
            if is_live(member):
                self._dead_since.pop(instance, None)
            else:
                self._dead_since.setdefault(instance, dead_at_s)
            changed.append(member)
        if changed:
            self._view = None
        return tuple(changed)

    def _compute_member(self, record: Member) -> Member:
        if not is_live(record):
            return record
        rank = (record.incarnation, record.instance)
        for instance in self._by_address[record.peer_address]:
            if (self._records[instance].incarnation, instance) > rank:
                return replace(record, state=MemberState.DEAD)
        return record

    def _build_view(self) -> MemberView:
        owners: dict[ServiceName, list[Member]] = {}
        live = [m for m in self._members.values() if m.instance not in self._dead_since]
        for member in live:
            if member.service is not None and member.target_state is SERVING:
                owners.setdefault(member.service, []).append(member)
        return MemberView(
            tuple(self._records.values()),
            tuple(self._members.values()),
            tuple(live),
            {service: tuple(members) for service, members in owners.items()},
            dict(self._dead_since),
            dict(self._members),
        )
