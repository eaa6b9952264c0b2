"""Test that a lost and a regained log are logged in one line each."""

from unittest import TestCase

from corianderhold.ids import Offset
from corianderhold.protocol.store.model import StreamName
from corianderhold.transport.store.monitored import MonitoredLog
from tests.common.clock import FakeClock
from tests.common.lines import collect_lines
from tests.common.log import FakeLog


class WatchedLogTests(TestCase):
    """Read from a log that goes down and comes back."""

    def test_loss_and_return_are_one_line_each(self) -> None:
        log = FakeLog()
        watched = MonitoredLog(log, FakeClock(), lambda: 7.5)
        with collect_lines() as lines:
            for down in (False, True, True, True, False, False, True, False):
                log.down = down
                watched.read(StreamName.MEMBERS, Offset(0), 1, 1.0)
        logged = [line.partition("event=")[2] for line in lines]
        self.assertEqual(
            logged,
            [
                "dependency_lost dependency=store view_age_s=7.5",
                "dependency_regained dependency=store view_age_s=7.5 lost_s=0",
            ],
        )
