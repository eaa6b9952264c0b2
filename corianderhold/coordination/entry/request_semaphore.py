"""Bound the concurrent requests of one listener."""

import threading


class RequestSemaphore:
    """
    Admit at most `limit` concurrent requests; `reserve` of them need permission.

    The listener has more threads than that, so that a refusal never waits for a thread.
    """

    def __init__(self, limit: int, reserve: int = 0) -> None:
        self._limit = max(1, limit)
        self._unreserved = max(1, self._limit - reserve)
        self._closed = False
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    @property
    def is_closed(self) -> bool:
        """Return whether new requests are refused."""
        return self._closed

    def close(self) -> None:
        """Refuse new requests from now on."""
        self._closed = True

    def try_acquire(self, *, reserve: bool = False) -> bool:
        """
        Admit a request, which must be released once; return False if none is free.

        `reserve` says whether the request may use the reserved capacity.
        """
        limit = self._limit if reserve else self._unreserved
        with self._lock:
            if self._closed or self._count >= limit:
                return False
            self._count += 1
            return True

    def release(self) -> None:
        """Release a request after the last byte of its response."""
        with self._lock:
            self._count -= 1
