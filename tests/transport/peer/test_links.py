"""
Test links, their handshake, the pool and the server on loopback.

They guard against partial or oversized frames, silent peers, peers without the fleet
secret, and pooled links that the other side has closed.
"""

import socket
import struct
import threading
import time
from unittest import TestCase
from unittest.mock import patch

from result import Err, Ok

from corianderhold.clock import SystemClock
from corianderhold.ids import Incarnation, InstanceId
from corianderhold.protocol.peer.const import FRAME_BYTES_MAX
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import CallHead, LoadReport, Progress
from corianderhold.state.membership.model import Address
from corianderhold.transport.peer.control import LinkControlClient
from corianderhold.transport.peer.errors import LinkClosedError, LinkSilentError
from corianderhold.transport.peer.handshake import Identity, PeerClock
from corianderhold.transport.peer.link import Link
from corianderhold.transport.peer.pool import LinkPool
from corianderhold.transport.peer.server import PeerServer
from tests.common.ports import find_free_port

CLOCK = SystemClock()
SECRET = b"secret of the fleet"


class EchoHandler:
    """Reply to a control request with the sender and its own body."""

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        if body == b"raise":
            raise ValueError(body)
        return sender.instance.encode() + b":" + body


class NoCalls:
    """Serve no calls."""

    def serve_call(self, link: Link, head: CallHead) -> None:
        raise AssertionError(head)

    def cancel_call(self, call_id: str) -> None:
        raise AssertionError(call_id)

    def report_load(self) -> LoadReport:
        return LoadReport()


def open_link_and_socket() -> tuple[Link, socket.socket]:
    """Return a link and the plain socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        raw = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return Link(accepted), raw


class LinkTests(TestCase):
    """Exchange frames with a hostile or broken peer."""

    def setUp(self) -> None:
        self.link, self.raw = open_link_and_socket()
        self.addCleanup(self.raw.close)
        self.addCleanup(self.link.close)

    def test_silent_peer_is_detected(self) -> None:
        with self.assertRaises(LinkSilentError):
            self.link.receive(0.02)

    def test_partial_frame_is_never_a_message(self) -> None:
        self.raw.sendall(struct.pack("!I", 100) + b"x" * 50)
        self.raw.close()
        with self.assertRaises(LinkClosedError):
            self.link.receive(1)

    def test_malformed_frame_and_the_length_of_an_oversized_one(self) -> None:
        malformed_frame = struct.pack("!I", 5) + b"\xff\x00\xff\x00\xff"
        for data in (malformed_frame, struct.pack("!I", FRAME_BYTES_MAX + 1)):
            self.raw.sendall(data)
            with self.assertRaises(FrameError):
                self.link.receive(1)

    def test_sender_detects_a_peer_that_reads_nothing(self) -> None:
        with self.assertRaises(LinkSilentError):
            for _ in range(1000):
                self.link.send(Progress("c" * 500_000), 0.02)  # type: ignore[arg-type]


class PeerClockTests(TestCase):
    """Convert local times to the clock of a peer."""

    def test_conversion_is_never_ahead_of_the_peer(self) -> None:
        clock = PeerClock(peer_us=5_000_000, received_at=100.0)
        self.assertLessEqual(clock.to_peer_us(102.0), 7_000_000)
        self.assertGreater(clock.to_peer_us(102.0), 6_990_000)


class PoolTests(TestCase):
    """Exchange control requests between a pool and a server."""

    def setUp(self) -> None:
        self.address = Address("127.0.0.1", find_free_port())
        self.server = self.start_server(1)

    def start_server(self, incarnation: int) -> PeerServer:
        identity = Identity(InstanceId("server"), Incarnation(incarnation), SECRET)
        handlers = {ControlTopic.RATE: EchoHandler()}
        server = PeerServer(self.address, identity, CLOCK, NoCalls(), handlers)
        server.start()
        self.addCleanup(server.stop)
        return server

    def make_client(self, secret: bytes = SECRET) -> LinkControlClient:
        identity = Identity(InstanceId("client"), Incarnation(2), secret)
        pool = LinkPool(identity, CLOCK)
        self.addCleanup(pool.stop)
        return LinkControlClient(pool)

    def test_request_is_answered_with_the_sender_known(self) -> None:
        client = self.make_client()
        for _ in range(2):
            reply = client.request(self.address, ControlTopic.RATE, b"hi", 1.0)
            self.assertEqual(reply, Ok(b"client:hi"))

    def test_server_survives_a_link_that_gets_no_thread(self) -> None:
        client = self.make_client()
        refused = RuntimeError("can't start new thread")
        with patch.object(threading.Thread, "start", side_effect=refused):
            reply = client.request(self.address, ControlTopic.RATE, b"hi", 1.0)
            self.assertEqual(reply, Err(ControlFailure.UNREACHABLE))
        reply = client.request(self.address, ControlTopic.RATE, b"hi", 1.0)
        self.assertEqual(reply, Ok(b"client:hi"))

    def test_peer_with_another_secret_is_refused(self) -> None:
        client = self.make_client(b"another secret")
        reply = client.request(self.address, ControlTopic.RATE, b"hi", 1.0)
        self.assertEqual(reply, Err(ControlFailure.UNREACHABLE))

    def test_failing_handler_and_unknown_topic_are_rejected(self) -> None:
        client = self.make_client()
        for topic, body in ((ControlTopic.RATE, b"raise"), (ControlTopic.ONCE, b"")):
            reply = client.request(self.address, topic, body, 1.0)
            self.assertEqual(reply, Err(ControlFailure.REJECTED))

    def test_pool_replaces_a_link_that_the_server_closed(self) -> None:
        client = self.make_client()
        client.request(self.address, ControlTopic.RATE, b"1", 1.0).unwrap()
        self.server.stop()
        self.start_server(2)
        deadline = time.monotonic() + 5
        reply = client.request(self.address, ControlTopic.RATE, b"2", 1.0)
        while isinstance(reply, Err) and time.monotonic() < deadline:
            reply = client.request(self.address, ControlTopic.RATE, b"2", 1.0)
        self.assertEqual(reply, Ok(b"client:2"))
