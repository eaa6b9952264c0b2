"""
Test calls whose frames are delayed, duplicated, mixed up, malformed or lost.

They guard against calls that run late or twice, responses given to the wrong call and
truncated responses reported as whole. A relay changes the frames between two daemons.
"""

import socket
import struct

from corianderhold.protocol.peer.codec import decode_message, encode_message
from corianderhold.protocol.peer.messages import AnswerHead, CallHead, Message
from emulator.pattern import matches_pattern
from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.frames import FrameGate, FrameReplacer
from tests.common.relay import Relay, pass_frame
from tests.common.scenario import FleetTestCase, Sent, plan_ingest
from tests.common.waiting import WAIT_LIMIT_S, wait_until

ENTRY = "entry"
OWNER = "owner"
WORK = "?work_ms=20"
GARBAGE = b"\xff" * 64
HUGE_LENGTH = 2**31
BIG_BODY_BYTES = 20_000_000


class FrameTests(FleetTestCase):
    """Relay calls from an entry to an owner in another failure domain."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue", relay_peer=True),
    )
    probes = ("/catalogue/search",)
    relay: Relay

    def setUp(self) -> None:
        super().setUp()
        self.relay = self.fleet.get_peer_relay(OWNER)
        self.addCleanup(setattr, self.relay, "frame_filter", pass_frame)

    def test_call_delivered_after_its_dispatch_deadline_is_not_executed(self) -> None:
        gate = FrameGate(CallHead)
        self.relay.frame_filter = gate.filter
        self.addCleanup(gate.released.set)
        future = self.send_in_background(ENTRY, self._ingest())
        self.assertTrue(gate.held.wait(WAIT_LIMIT_S))
        sent = future.result(WAIT_LIMIT_S)
        self.assertFalse(sent[1].is_whole)
        gate.released.set()
        later = self._send_until_whole()
        self.assertEqual(self.fleet.count_runs()[sent[0].request_id], 0)
        self.check_verdicts([sent, *later])

    def test_duplicated_call_is_executed_once(self) -> None:
        replacer = FrameReplacer(CallHead, lambda body: (body, body))
        self.relay.frame_filter = replacer.filter
        sent = self.send(ENTRY, self._ingest())
        self.assertTrue(replacer.replaced.is_set())
        later = self._send_until_whole() + self._send_until_whole()
        self.assertEqual(self.fleet.count_runs()[sent[0].request_id], 1)
        self.check_verdicts([sent, *later])

    def test_call_replayed_on_another_link_is_executed_once(self) -> None:
        first, second = self._send_and_replay(CallHead)
        self.assertTrue(first[1].is_whole, first)
        later = self._send_until_whole()
        self.assertEqual(self.fleet.count_runs()[first[0].request_id], 1)
        self.check_verdicts([first, second, *later])

    def test_late_response_is_not_given_to_the_next_call(self) -> None:
        gate = FrameGate(AnswerHead)
        self.relay.frame_filter = gate.filter
        self.addCleanup(gate.released.set)
        first = self.send_in_background(ENTRY, self._ingest()).result(WAIT_LIMIT_S)
        self.assertTrue(gate.held.is_set())
        self.assertEqual(first[1].verdict, "may_have_run", first)
        gate.released.set()
        later = self._send_until_whole() + self._send_until_whole()
        self.check_verdicts([first, *later])

    def test_crossed_response_is_not_accepted(self) -> None:
        first, second = self._send_and_replay(AnswerHead)
        self.assertNotEqual(second[1].verdict, "not_run")
        later = self._send_until_whole() + self._send_until_whole()
        self.check_verdicts([first, second, *later])

    def test_malformed_frame_gives_no_whole_response_and_later_calls_work(self) -> None:
        for kind, verdicts in (
            (AnswerHead, ["may_have_run"]),
            (CallHead, ["may_have_run", "not_run"]),
        ):
            with self.subTest(kind.__name__):
                replacer = FrameReplacer(kind, lambda _: (GARBAGE,))
                self.relay.frame_filter = replacer.filter
                sent = self.send(ENTRY, self._ingest())
                self.assertIn(sent[1].verdict, verdicts, sent)
                self.check_verdicts([sent, *self._send_until_whole()])

    def test_call_for_another_incarnation_is_not_executed(self) -> None:
        def make_stale(body: bytes) -> tuple[bytes, ...]:
            head = decode_message(body)
            assert isinstance(head, CallHead)
            values = {name: getattr(head, name) for name in head.__slots__}
            values["incarnation"] = head.incarnation - 1
            return (encode_message(CallHead(**values)),)

        self.relay.frame_filter = FrameReplacer(CallHead, make_stale).filter
        sent = self.send(ENTRY, self._ingest())
        self.assertEqual(sent[1].verdict, "not_run", sent)
        self.assertEqual(self.fleet.count_runs()[sent[0].request_id], 0)

    def test_garbage_on_the_peer_listener_closes_its_connection(self) -> None:
        port = self.fleet.members[OWNER].ports["peer"]
        for data in (struct.pack(">I", HUGE_LENGTH), struct.pack(">I", 64) + GARBAGE):
            with socket.create_connection(("127.0.0.1", port), 5.0) as connection:
                connection.sendall(data)
                self.assertEqual(connection.recv(1), b"")
        self.check_verdicts(self._send_until_whole())

    def test_big_response_arrives_whole(self) -> None:
        plan = self._plan_big_answer()
        outcome = self.fleet.send(ENTRY, plan)
        self.assertTrue(outcome.is_whole, outcome.error)
        self.assertTrue(matches_pattern(plan.request_id, BIG_BODY_BYTES, outcome.body))

    def test_answer_cut_off_by_a_lost_link_is_not_whole(self) -> None:
        plan = self._plan_big_answer("&stall_ms=1000")
        future = self.send_in_background(ENTRY, plan)
        wait_until(
            lambda: self.fleet.count_runs()[plan.request_id] == 1, "the call runs"
        )
        self.relay.cut()
        sent = future.result(WAIT_LIMIT_S)
        self.relay.heal()
        self.assertFalse(sent[1].is_whole, "truncated response reported as whole")
        self.check_verdicts([sent, *self._send_until_whole()])

    def _send_and_replay(self, kind: type[Message]) -> tuple[Sent, Sent]:
        """Send two calls; replay a frame of the first before that of the second."""
        kept: list[bytes] = []

        def keep(body: bytes) -> tuple[bytes, ...]:
            kept.append(body)
            return (body,)

        self.relay.frame_filter = FrameReplacer(kind, keep).filter
        first = self.send(ENTRY, self._ingest())
        replay = FrameReplacer(kind, lambda body: (kept[0], body))
        self.relay.frame_filter = replay.filter
        second = self.send(ENTRY, self._ingest())
        self.assertTrue(replay.replaced.is_set())
        return first, second

    def _ingest(self) -> RequestPlan:
        return plan_ingest(WORK)

    def _plan_big_answer(self, more: str = "") -> RequestPlan:
        path = f"/catalogue/search?size={BIG_BODY_BYTES}{more}"
        return RequestPlan(path, BROADCASTER_KEY)

    def _send_until_whole(self) -> list[Sent]:
        """Send non-idempotent calls until one gets a whole response."""
        return self.send_until_whole(ENTRY, self._ingest)
