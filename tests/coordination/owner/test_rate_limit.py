"""Test that a target gets no more calls per second than it names in its responses."""

import socket

from result import Ok

from corianderhold.coordination.owner.owner import Owner
from corianderhold.protocol.headers import HEADER_RATE_LIMIT
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus
from tests.common.calls import CATALOGUE
from tests.common.clock import FakeClock
from tests.common.scripted_target import ScriptedTarget, take_request
from tests.coordination.owner.test_owner import OwnerCase

RATE = 20.0
WINDOW_S = 4.0
TOLERATED = RATE * 1.5 * WINDOW_S + 5  # requests within one window, by the users' rule
USED_MIN = RATE * WINDOW_S * 0.9
STEP_S = 0.02


class LimitingTarget:
    """Respond to each request, naming `limit` if there is one, and count them."""

    def __init__(self, limit: str | None = None) -> None:
        self.limit = limit
        self.arrivals = 0
        self._target = ScriptedTarget(self._play)
        self.close = self._target.close
        self.status = TargetStatus(
            TargetState.SERVING, CATALOGUE, self._target.address, "t-1", 1
        )

    def _play(self, connection: socket.socket) -> None:
        while True:
            take_request(connection)
            self.arrivals += 1
            named = f"{HEADER_RATE_LIMIT}: {self.limit}\r\n" if self.limit else ""
            head = f"HTTP/1.1 200 OK\r\n{named}Content-Length: 0\r\n\r\n"
            connection.sendall(head.encode())


class NamedLimitTests(OwnerCase):
    """Offer calls to one target at two and a half times its limit."""

    def setUp(self) -> None:
        self.clock: FakeClock = FakeClock()
        self.target = LimitingTarget(str(RATE))
        self.addCleanup(self.target.close)
        self.owner = self.build(self.target.status)

    def offer(self, owner: Owner, seconds: float) -> int:
        """Return how many of the calls that are offered in some time arrive."""
        before = self.target.arrivals
        for _ in range(round(seconds / STEP_S)):
            served = isinstance(self.call(owner), Ok)
            self.assertLessEqual(served, self.target.arrivals)
            self.clock.advance(STEP_S)
        return self.target.arrivals - before

    def test_target_is_not_sent_more_than_the_limit_that_it_names(self) -> None:
        self.offer(self.owner, WINDOW_S)
        arrived = self.offer(self.owner, WINDOW_S)
        self.assertLessEqual(arrived, TOLERATED)
        self.assertGreaterEqual(arrived, USED_MIN)
