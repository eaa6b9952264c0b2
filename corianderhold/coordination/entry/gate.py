"""Bound the requests that are served at once on one listener."""

import threading


class Gate:
    """
    Let at most `limit` requests in, `reserve` of them only where they may use it.

    The listener has more threads than that, so that refusals never wait for a thread.
    """

    def __init__(self, limit: int, reserve: int = 0) -> None:
        self._limit = max(1, limit)
        self._unreserved = max(1, self._limit - reserve)
        self._closed = False
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Return the number of requests inside."""
        return self._count

    @property
    def is_closed(self) -> bool:
        """Return whether no more requests get in."""
        return self._closed

    def close(self) -> None:
        """Let no more requests in."""
        self._closed = True

    def enter(self, *, reserve: bool = False) -> bool:
        """
        Let a request in; it has to leave once. Return False for one too many.

        `reserve` says whether it may use the reserve.
        """
        limit = self._limit if reserve else self._unreserved
        with self._lock:
            if self._closed or self._count >= limit:
                return False
            self._count += 1
            return True

    def leave(self) -> None:
        """Count a request that has ended, the last byte of its answer included."""
        with self._lock:
            self._count -= 1
