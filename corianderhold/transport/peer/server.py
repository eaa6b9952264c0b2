"""Accept links from other daemons and dispatch their frames."""

import contextlib
import socket
import threading
from collections.abc import Mapping
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.peer.control import (
    ControlHandler,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import (
    CallHead,
    Cancel,
    ControlReply,
    ControlRequest,
    LoadReport,
    Message,
    Ping,
    Pong,
    Progress,
)
from corianderhold.state.membership.model import Address
from corianderhold.traffic import TrafficMeter
from corianderhold.transport.peer.const import (
    LINK_IDLE_TIMEOUT_S,
    LINKS_MAX,
    LISTEN_BACKLOG,
    PROGRESS_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)
from corianderhold.transport.peer.errors import LinkClosedError, LinkError
from corianderhold.transport.peer.handshake import (
    MICROSECONDS,
    Identity,
    Peer,
    handshake_as_server,
)
from corianderhold.transport.peer.link import Link


class CallServer(Protocol):
    """Serve the calls that arrive on links."""

    def serve_call(self, link: Link, head: CallHead) -> None:
        """Serve one call and send its response or refusal on the link."""

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call that is in flight, if there is one with this id."""

    def report_load(self) -> LoadReport:
        """Return the current load."""


class PeerServer:
    """
    Serve each link in a thread of its own; send Progress frames from another.

    `meter` counts the bytes sent.
    """

    def __init__(
        self,
        address: Address,
        identity: Identity,
        clock: Clock,
        calls: CallServer,
        handlers: Mapping[ControlTopic, ControlHandler],
        meter: TrafficMeter | None = None,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._calls = calls
        self._handlers = handlers
        self._meter = meter
        self._address = address
        self._lock = threading.Lock()
        self._links: dict[Link, CallHead | None] = {}
        self._stopped = threading.Event()
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Listen and start to accept links."""
        self._listener = socket.create_server(
            (self._address.host, self._address.port), backlog=LISTEN_BACKLOG
        )
        for name, task in (
            ("peer-accept", self._accept_links),
            ("peer-progress", self._send_progress),
        ):
            threading.Thread(target=task, name=name, daemon=True).start()
        log_event("listening", listener="peer", address=str(self._address))

    def stop(self) -> None:
        """Stop listening and close all links."""
        self._stopped.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
            self._listener.close()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.close()

    def count_in_flight(self) -> int:
        """Return the number of peers' calls whose response has not been sent whole."""
        with self._lock:
            return sum(head is not None for head in self._links.values())

    def _accept_links(self) -> None:
        assert self._listener is not None
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                if self._stopped.wait(0.05):
                    return
                log_warning("peer_accept_failed", error=str(error))
                continue
            self._start_link(connection)

    def _start_link(self, connection: socket.socket) -> None:
        link = Link(connection)
        with self._lock:
            if len(self._links) >= LINKS_MAX:
                link.close()
                return
            self._links[link] = None
        thread = threading.Thread(
            target=self._run_link, args=(link,), name="peer-link", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:  # no more threads available
            log_warning("peer_link_refused", error=str(error))
            self._remove_link(link)

    def _run_link(self, link: Link) -> None:
        try:
            peer = handshake_as_server(link, self._identity, self._clock)
            self._count_traffic(link, peer)
            while not self._stopped.is_set():
                self._handle(link, peer, link.receive(LINK_IDLE_TIMEOUT_S))
        except (LinkError, FrameError) as error:
            if isinstance(error, FrameError):
                log_warning("frame_malformed", error=str(error))
        finally:
            self._remove_link(link)

    def _count_traffic(self, link: Link, peer: Peer) -> None:
        if self._meter is not None:
            note = self._meter.count_to_instance
            name = peer.instance
            link.on_frame_sent = lambda purpose, count: note(purpose, name, count)

    def _remove_link(self, link: Link) -> None:
        with self._lock:
            self._links.pop(link, None)
        link.close()

    def _handle(self, link: Link, peer: Peer, message: Message) -> None:
        """
        Handle one frame.

        Raise `LinkClosedError` for a frame that can't begin an exchange.
        """
        if isinstance(message, CallHead):
            self._serve_call(link, message)
        elif isinstance(message, Ping):
            clock_us = int(self._clock.read_monotonic() * MICROSECONDS)
            pong = Pong(clock_us, self._identity.incarnation, self._calls.report_load())
            link.send(pong, SILENCE_TIMEOUT_S)
        elif isinstance(message, Cancel):
            self._calls.cancel_call(message.call_id)
        elif isinstance(message, ControlRequest):
            link.send(self._handle_control(peer, message), SILENCE_TIMEOUT_S)
        else:
            raise LinkClosedError(
                f"unexpected frame {type(message).__name__} at the start of an exchange"
            )

    def _serve_call(self, link: Link, head: CallHead) -> None:
        with self._lock:
            self._links[link] = head
        try:
            self._calls.serve_call(link, head)
        finally:
            with self._lock:
                self._links[link] = None

    def _handle_control(self, peer: Peer, request: ControlRequest) -> ControlReply:
        handler = self._handlers.get(request.topic)
        if handler is None:
            return ControlReply(False, b"")
        try:
            body = handler.handle_control(ControlSender(peer.instance), request.body)
        except Exception as error:  # noqa: BLE001
            # A failing handler must end neither the link nor its thread.
            log_warning("control_failed", topic=request.topic, error=repr(error))
            return ControlReply(False, b"")
        return ControlReply(True, body)

    def _send_progress(self) -> None:
        while not self._stopped.wait(PROGRESS_INTERVAL_S):
            with self._lock:
                busy = [(link, head) for link, head in self._links.items() if head]
            for link, head in busy:
                link.try_send(Progress(head.call_id))
