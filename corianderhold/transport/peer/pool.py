"""Pool links to other daemons, each with at most one call in flight."""

import math
import socket
import threading
from dataclasses import dataclass, field

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.log import log_event
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import Ping, Pong
from corianderhold.state.membership.model import Address
from corianderhold.traffic import TrafficMeter
from corianderhold.transport.peer.const import (
    CONNECT_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    IDLE_LINKS_PER_PEER,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    UNUSED_LINK_TIMEOUT_S,
)
from corianderhold.transport.peer.errors import LinkError
from corianderhold.transport.peer.handshake import (
    MICROSECONDS,
    Identity,
    Peer,
    PeerClock,
    handshake_as_client,
)
from corianderhold.transport.peer.link import Link


@dataclass
class PooledLink:
    """A pooled link, its peer and when it was last used and checked."""

    address: Address
    link: Link
    peer: Peer
    used_at: float
    checked_at: float


@dataclass(frozen=True)
class Unreachable:
    """Why no link could be opened; no part of a call has been sent."""

    detail: str


@dataclass
class IdleLinks:
    """The idle links to one address, the most recently used last."""

    links: list[PooledLink] = field(default_factory=list)


class LinkPool:
    """
    Pool links for the threads that send calls; keep idle ones alive with pings.

    `meter` counts the bytes sent.
    """

    def __init__(
        self, identity: Identity, clock: Clock, meter: TrafficMeter | None = None
    ) -> None:
        self._identity = identity
        self._meter = meter
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[Address, IdleLinks] = {}
        self._stopped = threading.Event()
        self._ping_thread = threading.Thread(
            target=self._ping_links, name="link-keeper", daemon=True
        )

    def start(self) -> None:
        """Start the thread that pings idle links."""
        self._ping_thread.start()

    def stop(self) -> None:
        """Close all idle links."""
        self._stopped.set()
        with self._lock:
            all_idle, self._idle = self._idle, {}
        for idle in all_idle.values():
            for pooled in idle.links:
                pooled.link.close()

    def acquire(
        self, address: Address, deadline_at: float = math.inf
    ) -> Result[PooledLink, Unreachable]:
        """
        Return an idle or new link to the daemon at a peer address.

        A new link must be open by `deadline_at`, in monotonic seconds.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                pooled = idle.links.pop() if idle and idle.links else None
            if pooled is None:
                return self._open(address, deadline_at)
            if pooled.link.is_idle():
                return Ok(pooled)
            pooled.link.close()

    def can_connect(self, address: Address, deadline_at: float) -> bool:
        """Return whether a new link opens by `deadline_at`; keep it in the pool."""
        opened = self._open(address, deadline_at)
        if isinstance(opened, Err):
            return False
        self.release(opened.ok_value)
        return True

    def release(self, pooled: PooledLink) -> None:
        """Return a link to the pool; its call has ended and no reply is pending."""
        pooled.used_at = pooled.checked_at = self._clock.read_monotonic()
        with self._lock:
            if not self._stopped.is_set():
                idle = self._idle.setdefault(pooled.address, IdleLinks())
                if len(idle.links) < IDLE_LINKS_PER_PEER:
                    idle.links.append(pooled)
                    return
        pooled.link.close()

    def discard(self, pooled: PooledLink) -> None:
        """Close a failed link and the idle links to the same address."""
        pooled.link.close()
        with self._lock:
            idle = self._idle.pop(pooled.address, IdleLinks())
        for other in idle.links:
            other.link.close()

    def _open(
        self, address: Address, deadline_at: float
    ) -> Result[PooledLink, Unreachable]:
        remaining_s = deadline_at - self._clock.read_monotonic()
        if remaining_s <= 0:
            return Err(Unreachable("no time left to open a link before the deadline"))
        try:
            connection = socket.create_connection(
                (address.host, address.port), min(CONNECT_TIMEOUT_S, remaining_s)
            )
        except OSError as error:
            return Err(Unreachable(str(error)))
        link = Link(connection)
        if self._meter is not None:
            note = self._meter.count_to_address
            link.on_frame_sent = lambda purpose, count: note(purpose, address, count)
        remaining_s = deadline_at - self._clock.read_monotonic()
        timeout_s = min(HANDSHAKE_TIMEOUT_S, max(0.0, remaining_s))
        try:
            peer = handshake_as_client(link, self._identity, self._clock, timeout_s)
        except (LinkError, FrameError) as error:
            link.close()
            return Err(Unreachable(str(error)))
        now = self._clock.read_monotonic()
        return Ok(PooledLink(address, link, peer, now, now))

    def _ping_links(self) -> None:
        while not self._stopped.wait(PING_INTERVAL_S / 2):
            for pooled in self._take_links_to_ping():
                if self._ping(pooled):
                    self._return_pinged(pooled)
                else:
                    log_event("link_silent", peer=str(pooled.address))
                    self.discard(pooled)

    def _take_links_to_ping(self) -> list[PooledLink]:
        """Remove the links due for a ping; close those unused for too long."""
        now = self._clock.read_monotonic()
        due: list[PooledLink] = []
        with self._lock:
            for address, idle in list(self._idle.items()):
                recent = [p for p in idle.links if now - p.checked_at < PING_INTERVAL_S]
                due += [p for p in idle.links if p not in recent]
                idle.links = recent
                if not recent:
                    del self._idle[address]
        unused = [p for p in due if now - p.used_at > UNUSED_LINK_TIMEOUT_S]
        for pooled in unused:
            pooled.link.close()
        return [p for p in due if p not in unused]

    def _ping(self, pooled: PooledLink) -> bool:
        """Return whether the peer responds, and record its clock."""
        try:
            sent_us = int(self._clock.read_monotonic() * MICROSECONDS)
            pooled.link.send(Ping(sent_us), PING_TIMEOUT_S)
            message = pooled.link.receive_reply(PING_TIMEOUT_S)
        except (LinkError, FrameError):
            return False
        if not isinstance(message, Pong):
            return False
        now = self._clock.read_monotonic()
        pooled.peer = Peer(
            pooled.peer.instance,
            message.incarnation,
            PeerClock(message.clock_us, now),
        )
        pooled.checked_at = now
        return True

    def _return_pinged(self, pooled: PooledLink) -> None:
        """Return a pinged link to the pool as the least recently used."""
        with self._lock:
            if not self._stopped.is_set():
                idle = self._idle.setdefault(pooled.address, IdleLinks())
                idle.links.insert(0, pooled)
                return
        pooled.link.close()
