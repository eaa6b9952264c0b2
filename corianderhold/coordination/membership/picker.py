"""Choose the next member to probe, in the own failure domain or in another."""

from collections.abc import Iterable
from random import Random

from corianderhold.coordination.membership.const import (
    CONSECUTIVE_CROSS_DOMAIN_PROBES,
    CROSS_DOMAIN_PROBE_INTERVAL,
    CROSS_DOMAIN_PROBERS,
    DOMAIN_CHECK_PROBES,
    ISOLATION_PROBE_FAILURES,
)
from corianderhold.coordination.membership.prober import ProbeHistory, ProbeRotation
from corianderhold.coordination.membership.roster import Roster
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Member


class ProbePicker:
    """
    Probe the own failure domain round-robin, and other domains occasionally.

    Each domain detects its own dead members and informs the others. Probes of other
    domains detect partitioned domains: after an unanswered probe, a few more members of
    that domain are probed soon, and so on while those do not answer either.
    """

    def __init__(self, roster: Roster, probe_log: ProbeHistory, random: Random) -> None:
        self._roster = roster
        self._probe_log = probe_log
        self._random = random
        self._near = ProbeRotation(random)
        self._far = ProbeRotation(random)
        self._pick_count = 0
        self._far_in_a_row = 0

    def pick(self) -> Member | None:
        """Return the member to probe next, or None if there are no others."""
        self._prioritise_suspects()
        near = self._roster.list_near()
        far = [m for members in self._roster.group_far().values() for m in members]
        self._pick_count += 1
        is_due = self._pick_count % min(CROSS_DOMAIN_PROBE_INTERVAL, len(near) + 1) == 0
        if (
            self._far.has_prioritised
            and self._far_in_a_row < CONSECUTIVE_CROSS_DOMAIN_PROBES
        ):
            is_due = True
        if far and (is_due or not near):
            self._far_in_a_row += 1
            return self._far.pick(far)
        self._far_in_a_row = 0
        return self._near.pick(near)

    def record_unanswered(self, instance: InstanceId) -> None:
        """Probe more members of another domain soon after an unanswered probe."""
        subject = self._roster.get_member(instance)
        if subject is None or subject.domain == self._roster.own.domain:
            return
        others = self._roster.group_far().get(subject.domain, [])
        drawn = self._random.sample(others, min(DOMAIN_CHECK_PROBES, len(others)))
        self._far.prioritise(member.instance for member in drawn)

    def _prioritise_suspects(self) -> None:
        """Prioritise members that are reported dead, and some that are suspected."""
        self._prioritise(self._roster.take_reported_dead())
        suspected = self._roster.take_suspected()
        if self._probe_log.failures < ISOLATION_PROBE_FAILURES:
            self._prioritise(filter(self._verifies, suspected))

    def _prioritise(self, instances: Iterable[InstanceId]) -> None:
        for instance in instances:
            is_near = self._is_near(instance)
            (self._near if is_near else self._far).prioritise((instance,))

    def _verifies(self, instance: InstanceId) -> bool:
        """Return whether this daemon is one of those that verify a suspicion."""
        near = len(self._roster.list_near()) + 1
        return (
            self._is_near(instance)
            or self._random.random() * near < CROSS_DOMAIN_PROBERS
        )

    def _is_near(self, instance: InstanceId) -> bool:
        member = self._roster.get_member(instance)
        return member is not None and member.domain == self._roster.own.domain
