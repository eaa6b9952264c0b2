"""Run worker threads that wait on the server's connections with epoll."""

import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from cheroot.workers.threadpool import ThreadPool, WorkerThread

from corianderhold.log import log_warning
from corianderhold.state.configuration.model import CallerLimits
from corianderhold.transport.web.caller import CallerConnection
from corianderhold.transport.web.const import (
    IDLE_CONNECTIONS_MAX,
    IDLE_THREADS_MIN,
    INITIAL_THREADS,
    SWEEP_INTERVAL_S,
    UNREAD_REQUESTS_POLL_INTERVAL_S,
    UNREAD_REQUESTS_TIMEOUT_S,
)

ONESHOT_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT


class ConnectionQueue:
    """
    Hand each readable connection to one idle worker thread.

    One-shot epoll wakes a single thread per connection, so a request is never passed
    between threads. The thread that removes a connection from `_waiting` owns it, and
    the connection is in `busy` until it is watched again or closed. A sweeper thread
    closes connections whose wait has timed out and calls `add_threads` when few threads
    are idle, until `is_full` is set.
    """

    def __init__(
        self,
        find_limits: Callable[[], CallerLimits],
        add_threads: Callable[[], None] = lambda: None,
    ) -> None:
        self._find_limits = find_limits
        self._add_threads = add_threads
        self.is_full = False
        self._idle_count = 0
        self._idle_lock = threading.Lock()
        self._wake = threading.Event()
        self._epoll = select.epoll()
        self._waiting: dict[int, CallerConnection] = {}
        self.busy: set[CallerConnection] = set()
        self._items: deque[object] = deque()
        self._item_count = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_SEMAPHORE)
        self._epoll.register(self._item_count, select.EPOLLIN)
        self._stopped = threading.Event()
        self._sweeper = threading.Thread(
            target=self._run_sweeper, name="web-sweeper", daemon=True
        )

    def start(self) -> None:
        """Start the thread that closes connections whose wait has timed out."""
        self._sweeper.start()

    def watch(self, connection: CallerConnection) -> None:
        """Wait for the next bytes of a connection; close it if too many are idle."""
        if len(self._waiting) >= IDLE_CONNECTIONS_MAX:
            connection.close()
            return
        fd = connection.socket.fileno()
        self._waiting[fd] = connection
        self.busy.discard(connection)
        try:
            self._arm(fd)
        except (OSError, ValueError):  # closed in the meantime
            self._waiting.pop(fd, None)
            connection.close()

    def put(self, item: object) -> None:
        """Hand an item, such as a shutdown request, to one idle thread."""
        self._items.append(item)
        os.eventfd_write(self._item_count, 1)

    def get(self) -> object:
        """Return the next readable connection, or the next queued item."""
        with self._idle_lock:
            self._idle_count += 1
        try:
            return self._take()
        finally:
            with self._idle_lock:
                self._idle_count -= 1
            if self._idle_count < IDLE_THREADS_MIN and not self.is_full:
                self._wake.set()

    def count_idle_threads(self) -> int:
        """Return the number of threads that wait for work."""
        return self._idle_count

    def _take(self) -> object:
        while True:
            for fd, _ in self._epoll.poll(None, 1):
                if fd == self._item_count:
                    if self._take_item():
                        return self._items.popleft()
                    continue
                connection = self._claim(fd)
                if connection is not None:
                    return connection

    def _claim(self, fd: int) -> CallerConnection | None:
        """Return a waiting connection for this thread to own, or None."""
        connection = self._waiting.get(fd)
        if connection is None:
            return None
        self.busy.add(connection)
        if self._waiting.pop(fd, None) is connection:
            return connection
        self.busy.discard(connection)
        return None

    def qsize(self) -> int:
        """Return the number of queued items that no thread has taken."""
        return len(self._items)

    def close_idle(self) -> None:
        """
        Close the connections on which no part of a request has been received.

        Bytes that have arrived but are still unread count as received; such a
        connection is left to a worker thread. One whose caller is still taking a
        response stays open, as another request would reset it and lose the response.
        """
        unread = self._find_readable()
        for fd, connection in list(self._waiting.items()):
            if not connection.is_idle or fd in unread or connection.is_delivering():
                continue
            if self._waiting.pop(fd, None) is not None:
                connection.close()

    def count_delivering(self) -> int:
        """Return how many waiting connections have a response that is not delivered."""
        waiting = list(self._waiting.values())
        return sum(connection.is_delivering() for connection in waiting)

    def wait_until_read(self, limit_s: float) -> None:
        """Wait up to `limit_s` seconds until threads have read received requests."""
        deadline_at = time.monotonic() + limit_s
        while self._find_readable() and time.monotonic() < deadline_at:
            time.sleep(UNREAD_REQUESTS_POLL_INTERVAL_S)

    def _find_readable(self) -> frozenset[int]:
        """Return the file descriptors of waiting connections with unread bytes."""
        poll = select.poll()
        for fd in list(self._waiting):
            poll.register(fd, select.POLLIN)
        return frozenset(fd for fd, events in poll.poll(0) if events & select.POLLIN)

    def close(self) -> None:
        """Close all waiting connections."""
        self._stopped.set()
        self._wake.set()
        while self._waiting:
            _, connection = self._waiting.popitem()
            connection.close()

    def _arm(self, fd: int) -> None:
        try:
            self._epoll.modify(fd, ONESHOT_READ_EVENTS)
        except FileNotFoundError:
            self._epoll.register(fd, ONESHOT_READ_EVENTS)

    def _take_item(self) -> bool:
        """Return whether this thread claimed a queued item."""
        try:
            os.eventfd_read(self._item_count)
        except BlockingIOError:
            return False
        return True

    def _run_sweeper(self) -> None:
        sweep_at = time.monotonic() + SWEEP_INTERVAL_S
        while not self._stopped.is_set():
            if self._wake.wait(max(0.0, sweep_at - time.monotonic())):
                self._wake.clear()
                self._add_threads()
            now = time.monotonic()
            if now >= sweep_at:
                self._close_expired(now)
                sweep_at = now + SWEEP_INTERVAL_S

    def _close_expired(self, now: float) -> None:
        """Close the connections whose deadline is at or before monotonic time `now`."""
        limits = self._find_limits()
        for fd, connection in list(self._waiting.items()):
            if now < connection.compute_deadline(limits) or connection.is_delivering():
                continue
            if self._waiting.pop(fd, None) is not None:
                connection.close_timed_out()


class PollingPool(ThreadPool):
    """Run worker threads on a `ConnectionQueue`; start more when few are idle."""

    def __init__(
        self, server: Any, threads: int, find_limits: Callable[[], CallerLimits]
    ) -> None:
        super().__init__(server, min=min(threads, INITIAL_THREADS), max=threads)
        self.connections = ConnectionQueue(find_limits, self._add_threads)
        self.connections.is_full = self.min == threads
        self._queue = self.connections
        self.get = self.connections.get
        self._threads: list[WorkerThread] = []
        self._grow_lock = threading.Lock()

    def start(self) -> None:
        """Start the initial threads."""
        super().start()
        self.connections.start()

    def stop(self, timeout: int = 5) -> None:
        """Stop the threads within `timeout` seconds and close idle connections."""
        self.connections.wait_until_read(UNREAD_REQUESTS_TIMEOUT_S)
        with self._grow_lock:
            self.connections.is_full = True
        super().stop(timeout)
        self.connections.close()

    def _add_threads(self) -> None:
        """Start the missing idle threads, unless at the maximum or stopping."""
        with self._grow_lock:
            if self.connections.is_full:
                return
            wanted = IDLE_THREADS_MIN - self.connections.count_idle_threads()
            for _ in range(min(wanted, self.max - len(self._threads))):
                try:
                    self._threads.append(self._start_thread())
                except RuntimeError as error:  # no more threads available
                    log_warning("listener_thread_refused", error=str(error))
                    return
            self.connections.is_full = len(self._threads) >= self.max

    def _start_thread(self) -> WorkerThread:
        """Start one thread without the wait of cheroot's own `grow`."""
        thread = WorkerThread(self.server)  # type: ignore[no-untyped-call]
        thread.start()
        return thread

    @staticmethod
    def _force_close(conn: CallerConnection | None) -> None:
        """Abort the connection of a thread that did not stop in time."""
        if conn is not None:
            conn.abort()
