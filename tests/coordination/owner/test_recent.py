"""
Test that duplicate call frames are detected.

A frame that is delivered twice would otherwise run its call twice.
"""

from unittest import TestCase

from corianderhold.coordination.owner.recent import RecentCalls
from corianderhold.ids import CallId


class RecentCallsTests(TestCase):
    """Remember call ids for as long as their frames may be accepted."""

    def test_call_is_known_until_its_frame_expires(self) -> None:
        recent = RecentCalls()
        self.assertTrue(recent.add(CallId("a"), accept_by=10.0, now=8.0))
        self.assertFalse(recent.add(CallId("a"), accept_by=10.0, now=9.9))

    def test_size_is_bounded_by_the_acceptance_time(self) -> None:
        recent = RecentCalls()
        for number in range(1000):
            recent.add(CallId(str(number)), accept_by=number + 1.5, now=float(number))
        self.assertLessEqual(len(recent), 3)
