"""Shared test case for configuration replication."""

from unittest import TestCase

from corianderhold.coordination.configuration.evacuator import Evacuator
from corianderhold.coordination.configuration.publisher import Publisher, PublishResult
from corianderhold.ids import ServiceName
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.configuration.model import Service
from corianderhold.state.configuration.records import Delta
from tests.common.changes import BASE, make_change, make_text
from tests.common.faults import FaultyLog
from tests.common.followers import Daemon, Fleet
from tests.common.log import FakeLog

SETTLE_LIMIT_S = 60.0
PUBLISH_TIMEOUT_S = 10.0
RETENTION_S = 3_600.0


def limit_concurrency(limit: int) -> Delta:
    """Return a change whose limit identifies its version."""
    return Delta(services=(Service(ServiceName("catalogue"), max_concurrency=limit),))


class SpreadTestCase(TestCase):
    """Run daemons in several domains, each with its own connection to the log."""

    seed = 1
    domains = 3
    daemons = 9

    def setUp(self) -> None:
        self.log = FakeLog()
        self.fleet = Fleet(0, 0, self.log, self.seed, RETENTION_S)
        self.ways: dict[str, FaultyLog] = {}
        for number in range(self.daemons):
            self.add_daemon(f"d{number % self.domains}", f"10.0.0.{number}")
        self.append(make_text("c1", 0, BASE))
        self.settle()

    def add_daemon(self, domain: str, host: str) -> Daemon:
        way = FaultyLog(self.log, self.fleet.clock)
        daemon = self.fleet.add(domain, host, way)
        self.ways[host] = way
        return daemon

    def append(self, data: str) -> None:
        self.log.append(StreamName.CONFIGURATION, data, 1.0)

    def append_changes(self, first_base: int, count: int) -> None:
        for base in range(first_base, first_base + count):
            self.append(make_text(f"c{base + 1}", base, limit_concurrency(base + 1)))

    def get_daemon(self, number: int) -> Daemon:
        return self.fleet.daemons[f"10.0.0.{number}"]

    def get_domain(self, domain: str) -> list[Daemon]:
        daemons = self.fleet.daemons.values()
        return [daemon for daemon in daemons if daemon.member.domain == domain]

    def isolate(self, domain: str) -> None:
        """Partition a domain from the log and from all other domains."""
        for number in range(self.domains):
            if f"d{number}" != domain:
                self.fleet.cut(domain, f"d{number}")
        for daemon in self.get_domain(domain):
            self.ways[daemon.member.instance].cut = True

    def make_publisher(self, daemon: Daemon) -> Publisher:
        way = self.ways[daemon.member.instance]
        clock = self.fleet.clock
        return Publisher(daemon.follower, way, clock, clock.advance)

    def make_evacuator(self, daemon: Daemon) -> Evacuator:
        way = self.ways[daemon.member.instance]
        clock = self.fleet.clock
        return Evacuator(daemon.follower, way, clock, clock.advance)

    def publish(
        self, daemon: Daemon, change_id: str, base: int, limit: int
    ) -> PublishResult:
        change = make_change(change_id, base, limit_concurrency(limit))
        return self.make_publisher(daemon).publish(change, PUBLISH_TIMEOUT_S)

    def settle(self, version: int | None = None) -> None:
        """
        Check that all daemons converge, on `version` if given.

        Versions in use must never decrease.
        """
        fleet = self.fleet
        settled = fleet.run_until(
            lambda: (
                fleet.is_agreed()
                and self.get_any().follower.replica.head.next_offset
                == self.log.find_end(StreamName.CONFIGURATION)
            ),
            SETTLE_LIMIT_S,
        )
        heads = {
            name: daemon.follower.replica.head for name, daemon in fleet.daemons.items()
        }
        self.assertTrue(settled, heads)
        versions = {daemon.holder.current.version for daemon in fleet.daemons.values()}
        self.assertEqual(versions, {version or self.read_version()})
        for daemon in fleet.daemons.values():
            ascending = sorted(set(daemon.versions))
            self.assertEqual(daemon.versions, ascending)

    def get_any(self) -> Daemon:
        return next(iter(self.fleet.daemons.values()))

    def read_version(self) -> int:
        return self.get_any().holder.current.version
