"""Test that odd records in the members' stream are skipped, and the others hold."""

import base64
from unittest import TestCase

from hypothesis import HealthCheck, given, settings

from corianderhold.coordination.membership.stream import MemberStream, encode_base64
from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.codec import encode_member
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.membership.target import Departure
from tests.common.log import FakeLog
from tests.common.membership import build_member
from tests.common.odd import NESTED, generate_objects

FIELDS = ("target_id", "started", "withdrawn", "other")
ANNOUNCEMENT = encode_base64(encode_member(build_member(1)))


def encode_departure(text: str) -> str:
    """Return a record with an announcement and this text as its departure."""
    departure = base64.b64encode(text.encode(errors="surrogatepass")).decode()
    return f"{ANNOUNCEMENT} {departure}"


class OddRecordTests(TestCase):
    """Read the stream with records of another writer."""

    def setUp(self) -> None:
        self.log = FakeLog()
        self.stream = MemberStream(self.log)

    def append(self, data: str) -> None:
        self.log.append(StreamName.MEMBERS, data, 1.0)

    def check_others_hold(self) -> None:
        """Check that a valid record behind the odd ones is read."""
        departure = Departure("t-2", 7, withdrawn=True)
        MemberStream(self.log).append(build_member(2), departure)
        self.assertTrue(self.stream.read().is_ok())
        instance = InstanceId("daemon-0002")
        self.assertTrue(self.stream.contains(instance))
        self.assertEqual(self.stream.find_departure(instance), departure)

    def test_odd_departures_are_skipped(self) -> None:
        for text in (
            NESTED,
            "[]",
            '{"target_id": 5, "started": 1, "withdrawn": true}',
            '{"target_id": "t", "started": 1e400, "withdrawn": true}',
            '{"target_id": "t", "started": "x", "withdrawn": true}',
            '{"target_id": "t", "started": 1, "withdrawn": 1e400}',
        ):
            self.append(encode_departure(text))
        self.check_others_hold()
        self.assertIsNone(self.stream.find_departure(InstanceId("daemon-0001")))

    def test_odd_announcements_are_skipped(self) -> None:
        for data in ("", " ", NESTED, "\ud800", "AAAA", ANNOUNCEMENT[:-8]):
            self.append(data)
        self.check_others_hold()

    @settings(deadline=None, max_examples=100, suppress_health_check=list(HealthCheck))
    @given(generate_objects(FIELDS))
    def test_any_departure_is_read_or_skipped(self, text: str) -> None:
        self.setUp()
        self.append(encode_departure(text))
        self.check_others_hold()
