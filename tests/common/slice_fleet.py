"""Simulate entries with slices of the rates on a fake clock."""

from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from corianderhold.coordination.rate.division import Division, MemberCountDivision
from corianderhold.coordination.rate.slices import SliceAllocator, SliceTable
from corianderhold.coordination.rate.transfer import EntryPlace, TransferLimiter
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    Version,
)
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Organisation
from corianderhold.state.lease.model import LeaseHolder
from corianderhold.state.membership.model import Address, Member
from tests.common.clock import FakeClock
from tests.common.followers import StaticMembers, build_member

TICK_S = 0.05


@dataclass
class Entry:
    """Simulate one entry of the fleet; a restart rebuilds its components."""

    fleet: "SliceFleet"
    member: Member
    up: bool = True
    members: StaticMembers = field(default_factory=StaticMembers)

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Restart without known members or accrued tokens."""
        fleet = self.fleet
        self.up = True
        self.members = StaticMembers()
        self.members.members[self.member.instance] = self.member
        self.configuration = ConfigurationHolder()
        self.configuration.replace(fleet.configuration)
        self.table = table = SliceTable()
        division = fleet.divide(self)
        holder = LeaseHolder(self.member.instance, Incarnation(1))
        self.limiter = TransferLimiter(
            table,
            EntryPlace(holder, self.member.domain, self.member.region),
            self.configuration,
            division,
            self.members,
            self,
            fleet.clock,
            Random(fleet.random.random()),
        )
        self.allocator = SliceAllocator(
            table,
            self.configuration,
            division,
            fleet.clock,
            fleet.slack,
            fleet.lowering_delay_s,
            fleet.overage,
        )
        self.configuration.add_listener(self.allocator.apply)

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Call a peer's limiter, or time out if the peer is cut off or down."""
        self.fleet.messages += 1
        peer = self.fleet.entries[address.host]
        if not peer.up or not self.fleet.connects(self, peer):
            return Err(ControlFailure.TIMEOUT)
        sender = ControlSender(self.member.instance)
        return Ok(peer.limiter.handle_control(sender, body))

    def charge(self, organisation: Organisation) -> bool:
        """Charge one request now."""
        now = self.fleet.clock.read_monotonic()
        return self.limiter.charge(organisation.name, now).is_ok()


def build_configuration(version: int, *organisations: Organisation) -> Configuration:
    """Return a configuration version with these organisations."""
    named = {organisation.name: organisation for organisation in organisations}
    return Configuration(Version(version), organisations=named)


class SliceFleet:
    """Build all entries; each discovers up to three members per tick."""

    def __init__(
        self,
        organisations: list[Organisation],
        domains: int,
        entries: int,
        seed: int,
        slack: float = 0.0,
        lowering_delay_s: float = 0.0,
        overage: float = 0.0,
    ) -> None:
        self.lowering_delay_s = lowering_delay_s
        self.slack = slack
        self.overage = overage
        self.random = Random(seed)
        self.clock = FakeClock()
        self.configuration = build_configuration(1, *organisations)
        self.messages = 0
        self.cut: set[FailureDomainId] = set()
        self.entries: dict[str, Entry] = {}
        for number in range(domains * entries):
            domain = FailureDomainId(f"domain-{number % domains}")
            region = RegionId(f"region-{number % domains // 2}")
            member = build_member(domain, f"10.0.0.{number}", region)
            self.entries[member.instance] = Entry(self, member)

    def divide(self, entry: Entry) -> Division:
        """Return how an entry divides the rates."""
        member = entry.member
        return MemberCountDivision(
            member.instance, member.domain, entry.members, self.clock, self.slack
        )

    def connects(self, one: Entry, other: Entry) -> bool:
        """Return whether two entries can reach each other."""
        if one.member.domain == other.member.domain:
            return True
        return not {one.member.domain, other.member.domain} & self.cut

    def list_up(self) -> list[Entry]:
        """Return the running entries."""
        return [entry for entry in self.entries.values() if entry.up]

    def find_members(self, entry: Entry) -> None:
        """Let an entry discover up to three running and reachable entries."""
        known = entry.members.members
        others: list[InstanceId] = [
            other.member.instance
            for other in self.list_up()
            if other.member.instance not in known and self.connects(entry, other)
        ]
        for instance in self.random.sample(others, min(3, len(others))):
            known[instance] = self.entries[instance].member

    def tick(self) -> float:
        """Advance by TICK_S, refresh all entries and return the monotonic time."""
        self.clock.advance(TICK_S)
        for entry in self.list_up():
            self.find_members(entry)
            entry.allocator.refresh()
        return self.clock.read_monotonic()

    def run(self, seconds: float) -> None:
        """Advance the time without requests."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
