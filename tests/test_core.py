"""
Test the life cycle of a process.

A component that blocks in its start or stop must not keep the process alive beyond the
stop limit, and a failed start must stop the components started before.
"""

import threading
import time
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.core import Application
from corianderhold.deadline import StopDeadline

LIMIT_S = 1.0
HANG_S = 5.0
STOP_REQUEST_DELAY_S = 0.3


class FakeComponent:
    """Record the calls; block in start or stop until the test ends."""

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
    """Run components that block, and request a stop."""

    def run_components(self, *components: FakeComponent) -> tuple[bool, float]:
        """Request a stop after STOP_REQUEST_DELAY_S; return the result and duration."""
        application = Application(
            list(components), StopDeadline(LIMIT_S, SystemClock())
        )
        for component in components:
            self.addCleanup(component.release.set)
        timer = threading.Timer(STOP_REQUEST_DELAY_S, application.request_stop)
        timer.start()
        self.addCleanup(timer.join)
        began_at = time.monotonic()
        ended = application.run(lambda: None)
        return ended, time.monotonic() - began_at - STOP_REQUEST_DELAY_S

    def test_components_stop_in_reverse_order(self) -> None:
        components = FakeComponent(), FakeComponent()
        ended, took_s = self.run_components(*components)
        self.assertTrue(ended)
        self.assertEqual(
            [component.calls for component in components], [["start", "stop"]] * 2
        )
        self.assertLess(took_s, LIMIT_S / 2)

    def test_component_that_drains_for_too_long_does_not_exceed_the_limit(self) -> None:
        ended, took_s = self.run_components(
            FakeComponent(), FakeComponent(stop_s=HANG_S)
        )
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_other_component_that_hangs_does_not_use_up_the_limit(self) -> None:
        ended, took_s = self.run_components(
            FakeComponent(stop_s=HANG_S), FakeComponent()
        )
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_start_that_hangs_does_not_delay_the_end(self) -> None:
        ended, took_s = self.run_components(
            FakeComponent(), FakeComponent(start_s=HANG_S), FakeComponent()
        )
        self.assertFalse(ended)
        self.assertLess(took_s, LIMIT_S)

    def test_failed_start_stops_what_was_started(self) -> None:
        first, last = FakeComponent(), FakeComponent(error=OSError("in use"))
        with self.assertRaisesRegex(OSError, "in use"):
            self.run_components(first, last)
        self.assertEqual(first.calls, ["start", "stop"])
