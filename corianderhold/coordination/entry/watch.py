"""Detect callers that disconnect while their calls are in flight."""

import select
import socket
import threading
from collections.abc import Callable

from corianderhold.coordination.entry.const import CALLER_CHECK_INTERVAL_S
from corianderhold.ids import CallId

Cancel = Callable[[CallId], None]


class CallerWatch:
    """
    Poll the sockets of waiting callers, and cancel the calls of disconnected ones.

    A single poll set is rebuilt at each interval, so that the cost does not depend on
    how often connections open and close.
    """

    def __init__(self, cancel: Cancel) -> None:
        self._cancel = cancel
        self._lock = threading.Lock()
        self._sockets: dict[CallId, socket.socket] = {}
        self._cancelled: set[CallId] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def add(self, call_id: CallId, connection: socket.socket) -> None:
        """Watch the connection of a call's caller."""
        with self._lock:
            self._sockets[call_id] = connection

    def remove(self, call_id: CallId) -> None:
        """Stop watching the caller of a call."""
        with self._lock:
            self._sockets.pop(call_id, None)

    def cancel_all(self) -> None:
        """Cancel all calls that callers wait for, so that they get a response."""
        with self._lock:
            calls = list(self._sockets)
        for call_id in calls:
            self._cancel(call_id)

    def _run(self) -> None:
        while not self._stopped.wait(CALLER_CHECK_INTERVAL_S):
            for call_id in self._find_disconnected():
                self._cancel(call_id)
                if call_id in self._cancelled:
                    self.remove(call_id)
                else:  # the router may not have it yet: cancel again at the next poll
                    self._cancelled.add(call_id)
            self._remove_ended()

    def _remove_ended(self) -> None:
        if self._cancelled:
            with self._lock:
                self._cancelled.intersection_update(self._sockets)

    def _find_disconnected(self) -> list[CallId]:
        """Return the calls whose callers closed their connections."""
        with self._lock:
            sockets = dict(self._sockets)
        if not sockets:
            return []
        poll = select.poll()
        calls: dict[int, CallId] = {}
        for call_id, connection in sockets.items():
            number = connection.fileno()
            if number >= 0:
                calls[number] = call_id
                poll.register(number, select.POLLRDHUP)
        return [calls[number] for number, _ in poll.poll(0)]
