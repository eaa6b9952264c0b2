"""Test that an entry tells owners what their targets said of themselves."""

from unittest import TestCase

from corianderhold.coordination.entry.const import NOTICE_LIFETIME_S
from corianderhold.coordination.entry.notices import KnownNotices
from corianderhold.ids import InstanceId
from corianderhold.protocol.peer.messages import TargetNotice
from tests.common.clock import FakeClock

OWNER = InstanceId("owner")
LIMITED = TargetNotice(rate_limit=20.0, target="t-1/1")


class KnownNoticesTests(TestCase):
    """Record the notices of responses from one owner."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.known = KnownNotices(self.clock)
        self.before = self.clock.read_monotonic()
        self.clock.advance(0.1)
        self.known.record(OWNER, LIMITED, self.before)

    def test_notice_is_told_until_a_later_call_is_answered_without_it(self) -> None:
        self.assertEqual(self.known.find(OWNER), LIMITED)
        self.clock.advance(0.1)
        self.known.record(OWNER, None, self.clock.read_monotonic())
        self.assertIsNone(self.known.find(OWNER))

    def test_response_to_an_earlier_call_does_not_remove_a_notice(self) -> None:
        self.known.record(OWNER, None, self.before)
        self.assertEqual(self.known.find(OWNER), LIMITED)

    def test_notice_of_an_unknown_start_is_not_told(self) -> None:
        other = InstanceId("other")
        self.known.record(other, TargetNotice(rate_limit=20.0), self.before)
        self.assertIsNone(self.known.find(other))

    def test_notice_expires(self) -> None:
        self.clock.advance(NOTICE_LIFETIME_S + 1)
        self.assertIsNone(self.known.find(OWNER))
