"""Test that refusals stay readable between builds that know different reasons."""

from unittest import TestCase

from thrift.TSerialization import deserialize, serialize

from corianderhold.ids import CallId, Incarnation
from corianderhold.protocol.peer.codec import (
    PROTOCOL_FACTORY,
    decode_message,
    encode_message,
)
from corianderhold.protocol.peer.gen import ttypes
from corianderhold.protocol.peer.messages import (
    CallRefused,
    LoadReport,
    Pong,
    TargetNotice,
)
from corianderhold.protocol.verdict import Reason, refuse_not_run

# Those of 12b17ce and later builds, which fail to read a frame with any other reason.
READABLE_BY_ALL_BUILDS = frozenset({"target_full"})


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


class RefusalTests(TestCase):
    """Encode and decode refusals."""

    def test_limited_target_is_reported_in_a_reason_that_older_builds_read(
        self,
    ) -> None:
        encoded = encode_message(refuse(Reason.TARGET_LIMITED))
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
