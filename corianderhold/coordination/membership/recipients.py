"""Choose random recipients among the members."""

from collections.abc import Mapping, Sequence
from random import Random

from corianderhold.coordination.membership.const import SAMPLE_FACTOR
from corianderhold.coordination.membership.prober import ProbeHistory
from corianderhold.coordination.membership.roster import Roster
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.state.membership.model import Member, MemberState


class RecipientChooser:
    """Choose among the live members other than this daemon."""

    def __init__(self, roster: Roster, probe_log: ProbeHistory, random: Random) -> None:
        self._roster = roster
        self._probe_log = probe_log
        self._random = random
        self._domains: list[FailureDomainId] = []

    def choose_for_gossip(self, count: int) -> list[Member]:
        """
        Return random members of the own failure domain.

        While probes fail, half of them are members heard from lately.
        """
        near = self._roster.list_near()
        chosen: list[Member] = []
        if self._probe_log.failures:
            heard = self._probe_log.list_heard()
            healthy = [member for member in near if member.instance in heard]
            chosen = self._random.sample(healthy, min(len(healthy), count // 2))
        return chosen + self._draw(near, count - len(chosen))

    def choose_far(self, count: int) -> list[Member]:
        """Return members of other failure domains, cycling through the domains."""
        far = self._roster.group_far()
        chosen: list[Member] = []
        for _ in range(min(count, len(far))):
            chosen += self._draw(far[self._pick_domain(far)], 1)
        return chosen

    def _pick_domain(self, far: Mapping[FailureDomainId, object]) -> FailureDomainId:
        """Return the next domain, in a new random order for each round."""
        while True:
            if not self._domains:
                self._domains = sorted(far)
                self._random.shuffle(self._domains)
            domain = self._domains.pop()
            if domain in far:
                return domain

    def choose_relays(self, count: int, subject: Member) -> list[Member]:
        """Return random members to relay a ping, in the domain of `subject` if own."""
        near = self._roster.list_near()
        if subject.domain == self._roster.own.domain and len(near) > count:
            return self._draw(near, count, subject.instance)
        return self._draw(self._roster.view.live, count, subject.instance)

    def _draw(
        self,
        members: Sequence[Member],
        count: int,
        excluded: InstanceId | None = None,
    ) -> list[Member]:
        """Return random members, suspected ones only if there are too few others."""
        drawn = self._random.sample(
            members, min(len(members), SAMPLE_FACTOR * count + 2)
        )
        unwanted = (excluded, self._roster.own.instance)
        wanted = [member for member in drawn if member.instance not in unwanted]
        wanted.sort(key=lambda member: member.state is MemberState.SUSPECT)
        return wanted[:count]
