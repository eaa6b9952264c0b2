"""Test the drain of a target and the graceful stop of a daemon."""

from unittest import TestCase

from corianderhold.drain import TargetDrain
from corianderhold.ids import ServiceName
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import (
    TargetAnnouncement,
    TargetHolder,
    TargetStatus,
)
from tests.common.clock import FakeClock


class Holder:
    """Hold a target as membership does."""

    def __init__(self) -> None:
        self.target = TargetHolder(FakeClock())

    def drain_target(self) -> None:
        self.target.drain()

    def read_target(self) -> TargetStatus:
        return self.target.read()


class TargetDrainTests(TestCase):
    """Drain on command."""

    def test_daemon_without_a_target_is_not_draining(self) -> None:
        self.assertFalse(TargetDrain(Holder()).is_draining())

    def test_drained_target_is_draining(self) -> None:
        holder = Holder()
        address = Address("127.0.0.1", 1)
        holder.target.announce(TargetAnnouncement(ServiceName("rights"), address))
        drain = TargetDrain(holder)
        self.assertFalse(drain.is_draining())
        drain.drain()
        drain.drain()
        self.assertTrue(drain.is_draining())
