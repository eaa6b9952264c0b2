"""Test that refusals stay readable between builds that know different reasons."""

import math
from unittest import TestCase

from thrift.TSerialization import deserialize, serialize

from corianderhold.ids import CallId, Incarnation
from corianderhold.protocol.peer.codec import (
    PROTOCOL_FACTORY,
    decode_message,
    encode_message,
)
from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.gen import ttypes
from corianderhold.protocol.peer.messages import (
    CallRefused,
    ControlReply,
    ControlRequest,
    LoadReport,
    Pong,
    TargetNotice,
)
from corianderhold.protocol.verdict import Reason, refuse_not_run
from corianderhold.transport.peer.purpose import classify_frame

# Those of 12b17ce and later builds, which fail to read a frame with any other reason.
READABLE_BY_ALL_BUILDS = frozenset(
    {"target_full", "answer_truncated", "queue_full", "shed"}
)
NEW_REASONS = (
    Reason.TARGET_LIMITED,
    Reason.TARGET_CRASHED,
    Reason.TRIAL_REQUIRED,
    Reason.TRIAL_BUSY,
    Reason.QUARANTINED,
)


def refuse(reason: Reason) -> CallRefused:
    """Return the message that a call was refused for this reason."""
    refusal = refuse_not_run(reason, 700, "detail")
    return CallRefused(CallId("c1"), refusal, LoadReport(), 2)


class NoticeTests(TestCase):
    """Encode and decode what an owner reports of its target."""

    def test_notice_survives(self) -> None:
        for notice in (
            None,
            TargetNotice(22.8, False, "i-1/1700000000000"),
            TargetNotice(0.0, True, "i-1/"),
        ):
            message = Pong(1, Incarnation(2), LoadReport(notice=notice))
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_limit_that_is_no_number_is_refused(self) -> None:
        for limit in (math.inf, -math.inf, math.nan, -1.0):
            notice = TargetNotice(limit, False, "i-1/")
            message = Pong(1, Incarnation(2), LoadReport(notice=notice))
            with self.subTest(limit), self.assertRaises(FrameError):
                decode_message(encode_message(message))


class ControlTests(TestCase):
    """Decode control requests, and count their bytes."""

    def test_topic_of_a_newer_build_does_not_end_the_link(self) -> None:
        frame = ttypes.Frame(control_request=ttypes.ControlRequest("newer", b"x"))
        decoded = decode_message(serialize(frame, PROTOCOL_FACTORY))
        self.assertEqual(decoded, ControlRequest(ControlTopic.UNKNOWN, b"x"))

    def test_bytes_of_every_topic_are_counted(self) -> None:
        for topic in ControlTopic:
            request = ControlRequest(topic, b"")
            purpose = classify_frame(request, None)
            self.assertEqual(classify_frame(ControlReply(True, b""), request), purpose)
            if topic is not ControlTopic.UNKNOWN:
                self.assertEqual(purpose.value, topic.value)


class RefusalTests(TestCase):
    """Encode and decode refusals."""

    def test_newer_reasons_are_sent_as_one_that_older_builds_read(self) -> None:
        for reason in NEW_REASONS:
            encoded = encode_message(refuse(reason))
            frame = deserialize(ttypes.Frame(), encoded, PROTOCOL_FACTORY)
            self.assertIn(frame.refusal.reason, READABLE_BY_ALL_BUILDS)
            self.assertEqual(frame.refusal.run_state, "not_run")

    def test_every_reason_survives(self) -> None:
        for reason in Reason:
            message = refuse(reason)
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_not_run_of_a_newer_build_is_not_turned_into_may_have_run(self) -> None:
        encoded = encode_message(refuse(Reason.DRAINING))
        frame = deserialize(ttypes.Frame(), encoded, PROTOCOL_FACTORY)
        frame.refusal.reason = "reason_of_a_newer_build"
        decoded = decode_message(serialize(frame, PROTOCOL_FACTORY))
        assert isinstance(decoded, CallRefused)
        self.assertTrue(decoded.refusal.not_run)
        self.assertEqual(decoded.refusal.retry_after_ms, 700)
