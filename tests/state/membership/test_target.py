"""Test the holder of the local target's announcement."""

from dataclasses import replace
from unittest import TestCase

from corianderhold.ids import ServiceName
from corianderhold.state.membership.const import TARGET_TTL_S
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import (
    TargetAnnouncement,
    TargetHolder,
    TargetStatus,
)
from tests.common.clock import FakeClock

RIGHTS = ServiceName("rights")
ADDRESS = Address("127.0.0.1", 8000)
SERVING, DRAINING, ABSENT = (
    TargetState.SERVING,
    TargetState.DRAINING,
    TargetState.ABSENT,
)


class TargetHolderTests(TestCase):
    """Announce, drain and lapse on a fake clock."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = TargetHolder(self.clock)

    def announce(self, restarted: bool = False, port: int = 8000) -> TargetState:
        address = Address("127.0.0.1", port)
        self.holder.announce(
            TargetAnnouncement(RIGHTS, address, started=int(restarted))
        )
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


class NamedTargetTests(TestCase):
    """Announce targets that name themselves, their starts and their heartbeats."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = TargetHolder(self.clock)

    def beat(
        self,
        target_id: str = "t1",
        started: int = 5,
        sequence: int = 1,
        draining: bool = False,
        port: int = 8000,
    ) -> TargetStatus:
        address = Address("127.0.0.1", port)
        self.holder.announce(
            TargetAnnouncement(RIGHTS, address, draining, target_id, started, sequence)
        )
        return self.holder.read()

    def test_late_and_repeated_heartbeats_change_nothing(self) -> None:
        known = self.beat(sequence=7)
        for late in (
            self.beat(sequence=7, port=8001),
            self.beat(sequence=6, port=8001),
            self.beat(started=4, sequence=9, port=8001),
            self.beat("t0", started=4, sequence=9, port=8001),
        ):
            self.assertEqual(late, known)
        self.clock.advance(TARGET_TTL_S)
        self.assertIs(self.beat("t2", started=4).state, SERVING)

    def test_drain_holds_for_its_start_only(self) -> None:
        self.assertIs(self.beat(draining=True).state, DRAINING)
        self.assertIs(self.beat(sequence=2).state, DRAINING)
        self.clock.advance(TARGET_TTL_S)
        self.assertIs(self.beat(sequence=3).state, DRAINING)
        self.assertIs(self.beat(started=6).state, SERVING)
        self.assertIs(self.beat(started=6, sequence=2, draining=True).state, DRAINING)
        self.assertEqual(self.beat("t2", started=6).target_id, "t2")
        self.assertIs(self.holder.read().state, SERVING)

    def test_drain_in_a_late_heartbeat_binds(self) -> None:
        self.beat(sequence=9)
        self.assertIs(self.beat(sequence=8, draining=True).state, DRAINING)

    def test_withdrawn_start_does_not_come_back(self) -> None:
        self.beat()
        self.holder.withdraw("t1", 5)
        self.assertIs(self.beat(sequence=2).state, ABSENT)
        self.clock.advance(TARGET_TTL_S)
        self.assertIs(self.beat(sequence=3).state, ABSENT)
        self.assertIs(self.beat(started=6).state, SERVING)

    def test_withdrawal_leaves_later_starts_and_other_targets(self) -> None:
        self.beat(started=6)
        self.holder.withdraw("t1", 5)
        self.holder.withdraw("t0", 7)
        self.assertIs(self.holder.read().state, SERVING)
        self.holder.withdraw("t1", None)
        self.assertIs(self.beat(started=6, sequence=2).state, ABSENT)

    def test_withdrawal_before_any_heartbeat_binds(self) -> None:
        self.holder.withdraw("t1", 5)
        self.assertIs(self.beat().state, ABSENT)

    def test_suspended_target_is_back_with_its_next_heartbeat(self) -> None:
        known = self.beat()
        self.holder.suspend(known)
        self.assertIs(self.holder.read().state, ABSENT)
        self.assertIs(self.beat(sequence=2).state, SERVING)
        self.holder.suspend(replace(known, target_id="t0"))
        self.assertIs(self.holder.read().state, SERVING)
