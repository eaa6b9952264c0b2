"""Choose random members to send to."""

from random import Random

from corianderhold.coordination.membership.const import SAMPLE_FACTOR
from corianderhold.coordination.membership.prober import ProbeLog
from corianderhold.coordination.membership.roster import Roster
from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Member, MemberState
from corianderhold.state.membership.table import is_live


class RecipientChooser:
    """Draw from the live members other than this daemon."""

    def __init__(self, roster: Roster, probe_log: ProbeLog, random: Random) -> None:
        self._roster = roster
        self._probe_log = probe_log
        self._random = random

    def choose_for_gossip(self, count: int) -> list[Member]:
        """Return random members; once probes fail, half of those heard lately."""
        chosen: list[Member] = []
        if self._probe_log.failures:
            heard = self._probe_log.list_heard()
            drawn = self._random.sample(heard, min(len(heard), count // 2))
            members = [self._roster.get_member(instance) for instance in drawn]
            chosen = [member for member in members if member and is_live(member)]
        return chosen + self.choose(count - len(chosen))

    def choose(self, count: int, excluded: InstanceId | None = None) -> list[Member]:
        """Return random members, suspected ones only where others lack."""
        live = self._roster.view.live
        drawn = self._random.sample(live, min(len(live), SAMPLE_FACTOR * count + 2))
        unwanted = (excluded, self._roster.own.instance)
        wanted = [member for member in drawn if member.instance not in unwanted]
        wanted.sort(key=lambda member: member.state is MemberState.SUSPECT)
        return wanted[:count]
