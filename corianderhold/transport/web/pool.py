"""Let the threads of an HTTP server wait on its connections themselves."""

import os
import select
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from cheroot.workers.threadpool import ThreadPool

from corianderhold.transport.web.const import (
    IDLE_CONNECTIONS_MAX,
    IDLE_TIMEOUT_S,
    SWEEP_INTERVAL_S,
)

ONE_REQUEST = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


@dataclass(frozen=True)
class WaitingConnection:
    """A connection without a request, and since when (monotonic seconds)."""

    connection: Any
    since: float


class ConnectionQueue:
    """
    Give each connection that has something to read to one waiting thread.

    The system wakes one thread for each connection, so that a request passes from no
    thread to another. Whoever takes a connection out of `_waiting` owns it.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._waiting: dict[int, WaitingConnection] = {}
        self._items: deque[object] = deque()
        self._item_count = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_SEMAPHORE)
        self._epoll.register(self._item_count, select.EPOLLIN)
        self._sweeping = threading.Lock()
        self._swept_at = time.monotonic()

    def watch(self, connection: Any) -> None:
        """Wait for the next request on a connection, or close one too many."""
        if connection.rfile.has_data():
            self.put(connection)
            return
        if len(self._waiting) >= IDLE_CONNECTIONS_MAX:
            connection.close()
            return
        number = connection.socket.fileno()
        self._waiting[number] = WaitingConnection(connection, time.monotonic())
        try:
            self._arm(number)
        except (OSError, ValueError):  # closed meanwhile
            self._waiting.pop(number, None)
            connection.close()

    def put(self, item: object) -> None:
        """Give an item, such as a request to end, to one waiting thread."""
        self._items.append(item)
        os.eventfd_write(self._item_count, 1)

    def get(self) -> object:
        """Return the next connection with a request, or the next item."""
        while True:
            events = self._epoll.poll(SWEEP_INTERVAL_S, 1)
            if time.monotonic() - self._swept_at > SWEEP_INTERVAL_S:
                self._sweep()
            for number, _ in events:
                if number == self._item_count:
                    if self._take_item():
                        return self._items.popleft()
                    continue
                waiting = self._waiting.pop(number, None)
                if waiting is not None:
                    return waiting.connection

    def qsize(self) -> int:
        """Return the number of items that no thread has taken."""
        return len(self._items)

    def close(self) -> None:
        """Close the connections that wait."""
        while self._waiting:
            _, waiting = self._waiting.popitem()
            waiting.connection.close()

    def _arm(self, number: int) -> None:
        try:
            self._epoll.modify(number, ONE_REQUEST)
        except FileNotFoundError:
            self._epoll.register(number, ONE_REQUEST)

    def _take_item(self) -> bool:
        """Return whether an item is for this thread."""
        try:
            os.eventfd_read(self._item_count)
        except BlockingIOError:
            return False
        return True

    def _sweep(self) -> None:
        """Close the connections that were idle for too long."""
        if not self._sweeping.acquire(blocking=False):
            return
        try:
            self._swept_at = now = time.monotonic()
            for number, waiting in list(self._waiting.items()):
                if now - waiting.since < IDLE_TIMEOUT_S:
                    continue
                if self._waiting.pop(number, None) is not None:
                    waiting.connection.close()
        finally:
            self._sweeping.release()


class PollingPool(ThreadPool):
    """Run a fixed number of threads on a `ConnectionQueue`."""

    def __init__(self, server: Any, threads: int) -> None:
        super().__init__(server, min=threads, max=threads)
        self.connections = ConnectionQueue()
        self._queue = self.connections
        self.get = self.connections.get

    def stop(self, timeout: int = 5) -> None:
        """End the threads within `timeout` seconds and close idle connections."""
        super().stop(timeout)
        self.connections.close()
