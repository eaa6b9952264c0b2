"""Test the holder of the local target's announcement."""

from unittest import TestCase

from corianderhold.ids import ServiceName
from corianderhold.state.membership.const import TARGET_TTL_S
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import TargetHolder
from tests.common.clock import FakeClock

RIGHTS = ServiceName("rights")
ADDRESS = Address("127.0.0.1", 8000)


class TargetHolderTests(TestCase):
    """Announce, drain and lapse on a fake clock."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = TargetHolder(self.clock)

    def announce(self, restarted: bool = False, port: int = 8000) -> TargetState:
        self.holder.announce(RIGHTS, Address("127.0.0.1", port), restarted)
        return self.holder.read().state

    def test_announcement_lapses_after_its_time_to_live(self) -> None:
        self.assertIs(self.announce(), TargetState.SERVING)
        self.clock.advance(TARGET_TTL_S - 0.01)
        self.assertEqual(self.holder.read().address, ADDRESS)
        self.clock.advance(0.02)
        self.assertIs(self.holder.read().state, TargetState.ABSENT)
        self.assertIsNone(self.holder.read().address)

    def test_drain_holds_at_once_and_through_late_heartbeats(self) -> None:
        self.announce()
        self.holder.drain()
        self.assertIs(self.holder.read().state, TargetState.DRAINING)
        for _ in range(10):
            self.clock.advance(1.0)
            self.assertIs(self.announce(), TargetState.DRAINING)

    def test_drain_ends_with_restart_move_withdrawal_or_lapse(self) -> None:
        endings = {
            "restart": lambda: self.announce(restarted=True),
            "move": lambda: self.announce(port=8001),
            "withdrawal": self.withdraw_and_announce,
            "lapse": self.lapse_and_announce,
        }
        for name, end in endings.items():
            self.holder = TargetHolder(self.clock)
            self.announce()
            self.holder.drain()
            self.assertIs(end(), TargetState.SERVING, name)

    def withdraw_and_announce(self) -> TargetState:
        self.holder.withdraw()
        self.assertIs(self.holder.read().state, TargetState.ABSENT)
        return self.announce()

    def lapse_and_announce(self) -> TargetState:
        self.clock.advance(TARGET_TTL_S)
        return self.announce()

    def test_closed_holder_never_serves_again(self) -> None:
        self.announce()
        self.holder.close()
        self.assertIs(self.announce(restarted=True), TargetState.DRAINING)
        self.assertIs(self.withdraw_and_announce(), TargetState.DRAINING)
