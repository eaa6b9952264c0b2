"""Apply announcements to the member table and refute claims about this daemon."""

from collections.abc import Mapping
from dataclasses import replace

from corianderhold.coordination.membership.broadcasts import (
    BroadcastQueue,
    TransmissionLimits,
)
from corianderhold.coordination.membership.const import (
    CROSS_DOMAIN_SUSPICION_FACTOR,
    INCARNATION_RAISE_INTERVAL_S,
    UNTHROTTLED_INCARNATION_RAISES,
)
from corianderhold.coordination.membership.health import ActiveClock, LocalHealth
from corianderhold.coordination.membership.neighbourhood import NeighbourhoodCache
from corianderhold.coordination.membership.prober import ProbeHistory
from corianderhold.coordination.membership.suspicion import (
    SuspicionTimers,
    compute_suspicion_timeout,
)
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    ServiceName,
)
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.membership.model import MemberClaim
from corianderhold.state.membership.incarnation import supersede_incarnation
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.table import (
    MemberTable,
    MemberView,
    compute_order_key,
    is_live,
    is_refutable,
)


class Roster:
    """
    Own the member table, the update queue and the suspicions of one daemon.

    `own` is this daemon's announcement. A claim that it is suspected or dead is refuted
    with a higher sequence number, the announcement of another start of the instance
    with a higher incarnation.

    Each daemon declares members dead only from its own suspicions that were not refuted
    in time. A claim of death by others, who may be on the other side of a partition,
    only triggers a probe by this daemon.
    """

    def __init__(
        self,
        own: Member,
        health: LocalHealth,
        time: ActiveClock,
        probe_log: ProbeHistory,
        now_s: float,
    ) -> None:
        self.own = own
        self.refutations = 0
        self._incarnation_raises = 0
        self._raised_at_s = float("-inf")
        self.broadcasts = BroadcastQueue(own.domain)
        self._health = health
        self._time = time
        self._probe_log = probe_log
        self._table = MemberTable()
        self._suspicions = SuspicionTimers()
        self._neighbourhood = NeighbourhoodCache(own)
        self._changes: list[Member] = []
        self._revivals = 0
        self.revivals = 0
        self._reported_dead: list[InstanceId] = []
        self._suspected: list[InstanceId] = []
        self._record(own, now_s)
        self.broadcasts.add(own)

    @property
    def view(self) -> MemberView:
        """Return the current view of all members."""
        return self._table.read_view()

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return a member as shown in the view, or None."""
        return self._table.get_member(instance)

    def count_live(self) -> int:
        """Return the number of live members, this one included."""
        return self._table.count_live()

    def find_limits(self) -> TransmissionLimits:
        """Return the transmission limits for the current live members."""
        return self._neighbourhood.read(self.view).limits

    def is_near(self, address: Address) -> bool:
        """Return whether a gossip address is in the own failure domain."""
        return address in self._neighbourhood.read(self.view).near_addresses

    def list_near(self) -> list[Member]:
        """Return the other live members of the own failure domain."""
        return self._neighbourhood.read(self.view).near

    def group_far(self) -> Mapping[FailureDomainId, list[Member]]:
        """Return the live members of each other failure domain."""
        return self._neighbourhood.read(self.view).far

    def apply(self, member: Member, now_s: float) -> None:
        """Apply a gossiped announcement and queue it for retransmission."""
        if member.instance == self.own.instance:
            self._refute(member, now_s)
        elif not self._queue_verification(member) and self._record(member, now_s):
            self.broadcasts.add(member)
            self._claim_address(member, now_s)

    def resolve(self, claim: MemberClaim) -> Member | None:
        """Return the record for a claim, or None if its announcement is unknown."""
        known = self._table.get_member(claim.instance)
        claimed = (claim.incarnation, claim.sequence)
        if known is None or claimed > (known.incarnation, known.sequence):
            return None
        return replace(
            known,
            incarnation=claim.incarnation,
            sequence=claim.sequence,
            state=claim.state,
        )

    def list_refutations(self, claims: list[Member]) -> tuple[Member, ...]:
        """Return the live members that refute claims of suspicion or death."""
        refuting = []
        for claim in claims:
            known = self._table.get_member(claim.instance)
            if known is None or known.state is not MemberState.ALIVE:
                continue
            claimed = (claim.incarnation, claim.sequence)
            if is_refutable(claim) and (known.incarnation, known.sequence) > claimed:
                refuting.append(known)
        return tuple(refuting)

    def find_superseding(self, announcement: Member) -> Member | None:
        """Return the record of another start that hides an announcement, or None."""
        return self._table.find_superseding(announcement)

    def apply_synced(self, member: Member, now_s: float, dead_for_s: float) -> None:
        """Apply a record of another daemon's table without retransmitting it."""
        if member.instance == self.own.instance:
            self._refute(member, now_s)
        elif not self._queue_verification(member):
            self._record(member, now_s, dead_for_s)
            self._claim_address(member, now_s)

    def supersede_incarnation(self, incarnation: Incarnation, now_s: float) -> None:
        """Announce this start with a higher incarnation than another start's."""
        if incarnation <= self.own.incarnation:
            return
        if self._incarnation_raises >= UNTHROTTLED_INCARNATION_RAISES:
            log_warning(
                "instance_conflict",
                instance=self.own.instance,
                incarnation=incarnation,
                own_incarnation=self.own.incarnation,
            )
            if self._time.seconds < self._raised_at_s + INCARNATION_RAISE_INTERVAL_S:
                return
        self._incarnation_raises += 1
        self._raised_at_s = self._time.seconds
        self.refutations += 1
        raised = supersede_incarnation(self.own.incarnation, incarnation)
        log_event("incarnation_raised", incarnation=raised, over=incarnation)
        self._announce(replace(self.own, incarnation=raised), now_s)

    def announce(
        self, service: ServiceName | None, state: TargetState, now_s: float
    ) -> None:
        """Announce a change of the local target."""
        own = self.own
        self._announce(replace(own, service=service, target_state=state), now_s)

    def leave(self, now_s: float) -> None:
        """Announce that this daemon leaves the fleet permanently."""
        left = replace(
            self.own, state=MemberState.LEFT, target_state=TargetState.ABSENT
        )
        self._announce(left, now_s)

    def suspect(self, instance: InstanceId, now_s: float) -> None:
        """Mark a member that did not answer a probe as suspected."""
        member = self._table.get_member(instance)
        if member is not None and member.state is MemberState.ALIVE:
            self.apply(replace(member, state=MemberState.SUSPECT), now_s)

    def expire(self, now_s: float) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        for member in self._suspicions.expire(self._time.seconds):
            self._record(member, now_s)

    def evict_expired(self, now_s: float) -> None:
        """Remove members that have been dead for longer than the retention."""
        for member in self._table.evict_expired(now_s):
            log_event("member_forgotten", instance=member.instance)

    def take_changes(self) -> list[Member]:
        """Return the members that changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def take_revivals(self) -> int:
        """Return how many dead members returned since the last call."""
        revivals, self._revivals = self._revivals, 0
        return revivals

    def take_reported_dead(self) -> list[InstanceId]:
        """Return the members reported dead by others since the last call."""
        reported_dead, self._reported_dead = self._reported_dead, []
        return reported_dead

    def take_suspected(self) -> list[InstanceId]:
        """Return the members that were suspected since the last call."""
        suspected, self._suspected = self._suspected, []
        return suspected

    def _queue_verification(self, claim: Member) -> bool:
        """Return whether a claim of death must be verified, and queue the check."""
        known = self._table.get_member(claim.instance)
        if claim.state is not MemberState.DEAD or known is None or not is_live(known):
            return False
        self._reported_dead.append(claim.instance)
        return True

    def _announce(self, own: Member, now_s: float) -> None:
        self.own = replace(own, sequence=own.sequence + 1)
        self._record(self.own, now_s)
        self.broadcasts.add(self.own)

    def _refute(self, claim: Member, now_s: float) -> None:
        if claim.incarnation > self.own.incarnation:
            self.supersede_incarnation(claim.incarnation, now_s)
            return
        if compute_order_key(claim) <= compute_order_key(self.own):
            return
        log_event("claim_refuted", state=claim.state, sequence=claim.sequence)
        self._health.worsen()
        self.refutations += 1
        self._announce(replace(self.own, sequence=claim.sequence), now_s)

    def _claim_address(self, other: Member, now_s: float) -> None:
        """Outrank an instance that used this daemon's address before."""
        if other.peer_address == self.own.peer_address:
            self.supersede_incarnation(other.incarnation, now_s)

    def _record(self, member: Member, now_s: float, dead_for_s: float = 0.0) -> bool:
        known = self._table.get_member(member.instance)
        changes = self._table.merge(member, now_s, dead_for_s)
        if not changes:
            return False
        if known is not None and is_live(member) and not is_live(known):
            self._revivals += 1
            self.revivals += 1
        timeout_s = compute_suspicion_timeout(
            self.count_live(), self._health.multiplier
        )
        for change in changes:
            is_near = change.domain == self.own.domain
            limit_s = (
                timeout_s if is_near else CROSS_DOMAIN_SUSPICION_FACTOR * timeout_s
            )
            self._suspicions.update(change, self._time.seconds, limit_s)
            if change.state is MemberState.SUSPECT:
                self._suspected.append(change.instance)
            log_event(
                "member_changed",
                instance=change.instance,
                incarnation=change.incarnation,
                sequence=change.sequence,
                state=change.state,
                service=change.service,
                target_state=change.target_state,
                heard_age_s=self._probe_log.read_age_s(
                    change.instance, self._time.seconds
                ),
            )
        self._changes.extend(changes)
        return True
