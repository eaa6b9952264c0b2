"""Test that a lost and a regained log are logged in one line each."""

from unittest import TestCase

from corianderhold.ids import FIRST_ERA, Offset
from corianderhold.protocol.store.model import StreamName
from corianderhold.transport.store.monitored import MonitoredLog
from tests.common.clock import FakeClock
from tests.common.lines import collect_lines
from tests.common.log import FakeLog


class WatchedLogTests(TestCase):
    """Read from a log that goes down and comes back."""

    def test_change_of_the_era_is_logged_with_the_position_before_it(self) -> None:
        log = FakeLog()
        watched = MonitoredLog(log, FakeClock(), lambda: 7.5)
        for _ in range(3):
            log.append(StreamName.MEMBERS, "record", 1.0)
        with collect_lines() as lines:
            watched.read(StreamName.MEMBERS, Offset(0), 1, 1.0)
            log.restore({StreamName.MEMBERS: 1})
            for _ in range(2):
                watched.read(StreamName.MEMBERS, Offset(3), 1, 1.0)
        self.assertEqual(watched.read_era(), 2)
        self.assertEqual(
            [line.partition("event=")[2] for line in lines],
            [
                "store_era_changed era=2 before=1 stream=members from_offset=3"
                " next_offset=1",
            ],
        )

    def test_loss_and_return_are_one_line_each(self) -> None:
        log = FakeLog()
        log.era = FIRST_ERA
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
