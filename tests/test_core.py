"""Test the life cycle of a process."""

import threading
import time
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.core import Application
from corianderhold.deadline import StopDeadline

LIMIT_S = 1.0
HANG_S = 5.0
STOP_SENT_AFTER_S = 0.3


class Part:
    """Note the calls; hold up the start or the stop until the test ends."""

    def __init__(
        self, start_s: float = 0.0, stop_s: float = 0.0, error: Exception | None = None
    ) -> None:
        self.calls: list[str] = []
        self._start_s, self._stop_s, self._error = start_s, stop_s, error
        self.release = threading.Event()

    def start(self) -> None:
        self.calls.append("start")
        self.release.wait(self._start_s)
        if self._error is not None:
            raise self._error

    def stop(self) -> None:
        self.calls.append("stop")
        self.release.wait(self._stop_s)


class ApplicationTests(TestCase):
    """Run parts that block, and ask for the end."""

    def run_parts(self, *parts: Part) -> tuple[bool, float]:
        """Ask for the end STOP_SENT_AFTER_S later; return `run`'s answer and time."""
        application = Application(list(parts), StopDeadline(LIMIT_S, SystemClock()))
        for part in parts:
            self.addCleanup(part.release.set)
        timer = threading.Timer(STOP_SENT_AFTER_S, application.request_stop)
        timer.start()
        self.addCleanup(timer.join)
        began_at = time.monotonic()
        ended = application.run(lambda: None)
        return ended, time.monotonic() - began_at - STOP_SENT_AFTER_S

    def test_parts_stop_in_reverse_order(self) -> None:
        parts = Part(), Part()
        ended, took_s = self.run_parts(*parts)
        self.assertTrue(ended)
        self.assertEqual([part.calls for part in parts], [["start", "stop"]] * 2)
        self.assertLess(took_s, LIMIT_S / 2)

    def test_part_that_drains_for_too_long_does_not_exceed_the_limit(self) -> None:
        ended, took_s = self.run_parts(Part(), Part(stop_s=HANG_S))
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_other_part_that_hangs_does_not_take_the_rest_of_the_limit(self) -> None:
        ended, took_s = self.run_parts(Part(stop_s=HANG_S), Part())
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_start_that_hangs_does_not_hold_up_the_end(self) -> None:
        ended, took_s = self.run_parts(Part(), Part(start_s=HANG_S), Part())
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_failed_start_stops_what_was_started(self) -> None:
        first, last = Part(), Part(error=OSError("in use"))
        with self.assertRaisesRegex(OSError, "in use"):
            self.run_parts(first, last)
        self.assertEqual(first.calls, ["start", "stop"])
