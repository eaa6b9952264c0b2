"""Serve the administration API of one daemon in tests."""

from corianderhold.admin.application import AdminApplication
from corianderhold.admin.model import AdminParts, Identity
from corianderhold.clock import Clock
from corianderhold.coordination.configuration.evacuator import EvacuationTracker
from corianderhold.ids import Fingerprint, ServiceName
from corianderhold.readiness import Readiness
from corianderhold.state.membership.model import Address
from corianderhold.state.quarantine.model import Quarantine
from corianderhold.transport.web.server import WebServer
from tests.common.followers import Daemon
from tests.common.ports import find_free_port
from tests.coordination.configuration.case import SpreadTestCase

TOKEN = "a token of the operators"


class FakeDrain:
    """Record whether a drain was requested; `error` is raised after it."""

    draining = False
    error: Exception | None = None

    def drain(self) -> None:
        self.draining = True
        if self.error is not None:
            raise self.error

    def is_draining(self) -> bool:
        return self.draining


class FakeQuarantines:
    """Keep quarantines that tests add."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantines: dict[Fingerprint, Quarantine] = {}

    def add(self, fingerprint: bytes, left_s: float) -> None:
        """Begin a quarantine."""
        now = self._clock.read_monotonic()
        key = Fingerprint(fingerprint)
        service = ServiceName("catalogue")
        self._quarantines[key] = Quarantine(key, service, now, now + left_s, 1)

    def list_quarantines(self) -> tuple[Quarantine, ...]:
        return tuple(self._quarantines.values())

    def release(self, fingerprint: Fingerprint) -> bool:
        return self._quarantines.pop(fingerprint, None) is not None


class AdminTestCase(SpreadTestCase):
    """Serve the API of daemon 0 over HTTP."""

    def setUp(self) -> None:
        super().setUp()
        self.daemon = self.get_daemon(0)
        self.way = self.ways["10.0.0.0"]
        self.drain = FakeDrain()
        self.quarantines = FakeQuarantines(self.fleet.clock)
        self.readiness = Readiness(self.daemon.holder, self.fleet.clock, lambda: True)
        self.readiness.open()
        self.address = self.serve(self.daemon)

    def serve(self, daemon: Daemon, token: str = TOKEN) -> Address:
        parts = AdminParts(
            identity=Identity(daemon.member.instance, daemon.member.domain),
            readiness=self.readiness,
            holder=daemon.holder,
            publisher=self.make_publisher(daemon),
            orders=self.make_evacuator(daemon),
            evacuations=EvacuationTracker(daemon.holder, self.fleet.clock),
            history=daemon.follower.replica.history,
            stream=daemon.follower,
            members=self.fleet.members,
            drain=self.drain,
            quarantines=self.quarantines,
            metrics=daemon.metrics,
            clock=self.fleet.clock,
        )
        address = Address("127.0.0.1", find_free_port())
        application = AdminApplication(parts, token)
        server = WebServer("admin", address, application, 2)
        server.start()
        self.addCleanup(server.stop)
        return address
