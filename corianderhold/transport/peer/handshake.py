"""Authenticate two daemons to each other on a new link, with the fleet secret."""

import hashlib
import hmac
import os
from dataclasses import dataclass, field

from corianderhold.clock import Clock
from corianderhold.ids import Incarnation, InstanceId
from corianderhold.protocol.peer.const import NONCE_BYTES
from corianderhold.protocol.peer.messages import Hello
from corianderhold.transport.peer.const import CLOCK_DRIFT_RATIO, HANDSHAKE_TIMEOUT_S
from corianderhold.transport.peer.errors import LinkClosedError
from corianderhold.transport.peer.link import Link

SERVER_LABEL = b"corianderhold-peer-server"
CLIENT_LABEL = b"corianderhold-peer-client"
MICROSECONDS = 1_000_000


@dataclass(frozen=True)
class Identity:
    """Identify this daemon to its peers on links."""

    instance: InstanceId
    incarnation: Incarnation
    secret: bytes = field(repr=False)


@dataclass(frozen=True)
class PeerClock:
    """
    A reading of a peer's monotonic clock.

    `peer_us` was read no later than `received_at` seconds on the local clock.
    """

    peer_us: int
    received_at: float

    def to_peer_us(self, local_s: float) -> int:
        """Return a lower bound in µs for the peer's clock at local time `local_s`."""
        elapsed_s = local_s - self.received_at
        drift_s = abs(elapsed_s) * CLOCK_DRIFT_RATIO
        return self.peer_us + int((elapsed_s - drift_s) * MICROSECONDS)


@dataclass(frozen=True)
class Peer:
    """The daemon at the other end of a link."""

    instance: InstanceId
    incarnation: Incarnation
    clock: PeerClock


def handshake_as_client(
    link: Link, identity: Identity, clock: Clock, timeout_s: float
) -> Peer:
    """
    Perform the client side of the handshake; return the server's identity.

    Raise `LinkError` or `FrameError` when the server does not prove the fleet secret.
    """
    nonce = os.urandom(NONCE_BYTES)
    link.send(build_hello(identity, nonce, b"", clock), timeout_s)
    reply = receive_hello(link, timeout_s)
    peer_clock = PeerClock(reply.clock_us, clock.read_monotonic())
    check_proof(identity, SERVER_LABEL, nonce, reply)
    proof = compute_proof(
        identity.secret, CLIENT_LABEL, reply.nonce, nonce, identity.instance
    )
    link.send(build_hello(identity, nonce, proof, clock), timeout_s)
    return Peer(reply.instance, reply.incarnation, peer_clock)


def handshake_as_server(link: Link, identity: Identity, clock: Clock) -> Peer:
    """
    Perform the server side of the handshake; return the client's identity.

    Raise `LinkError` or `FrameError` when the client does not prove the fleet secret.
    """
    first = receive_hello(link, HANDSHAKE_TIMEOUT_S)
    nonce = os.urandom(NONCE_BYTES)
    proof = compute_proof(
        identity.secret, SERVER_LABEL, first.nonce, nonce, identity.instance
    )
    link.send(build_hello(identity, nonce, proof, clock), HANDSHAKE_TIMEOUT_S)
    second = receive_hello(link, HANDSHAKE_TIMEOUT_S)
    peer_clock = PeerClock(second.clock_us, clock.read_monotonic())
    check_proof(identity, CLIENT_LABEL, nonce, second)
    return Peer(second.instance, second.incarnation, peer_clock)


def build_hello(identity: Identity, nonce: bytes, proof: bytes, clock: Clock) -> Hello:
    """Build this daemon's Hello."""
    clock_us = int(clock.read_monotonic() * MICROSECONDS)
    return Hello(identity.instance, identity.incarnation, nonce, proof, clock_us)


def receive_hello(link: Link, timeout_s: float) -> Hello:
    """Receive a Hello; raise `LinkClosedError` for any other frame."""
    message = link.receive(timeout_s)
    if not isinstance(message, Hello):
        raise LinkClosedError(
            f"expected Hello on a new link, got {type(message).__name__}"
        )
    return message


def check_proof(
    identity: Identity, label: bytes, own_nonce: bytes, hello: Hello
) -> None:
    """Raise `LinkClosedError` unless the Hello proves knowledge of the secret."""
    expected = compute_proof(
        identity.secret, label, own_nonce, hello.nonce, hello.instance
    )
    if not hmac.compare_digest(expected, hello.proof):
        raise LinkClosedError("peer failed to prove the fleet secret")


def compute_proof(
    secret: bytes, label: bytes, challenge: bytes, nonce: bytes, instance: str
) -> bytes:
    """Return the HMAC-SHA256 that answers a challenge."""
    text = b"\0".join((label, challenge.hex().encode(), nonce.hex().encode()))
    return hmac.digest(secret, text + b"\0" + instance.encode(), hashlib.sha256)
