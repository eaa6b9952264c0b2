"""Bound the requests that are served at once on one listener."""

import threading
from types import TracebackType


class Gate:
    """
    Let at most `limit` requests in; a context manager that says whether it did.

    The listener has more threads than that, so that refusals never wait for a thread.
    """

    def __init__(self, limit: int) -> None:
        self._limit = max(1, limit)
        self._closed = False
        self._count = 0
        self._lock = threading.Lock()
        self._entered = threading.local()

    @property
    def count(self) -> int:
        """Return the number of requests inside."""
        return self._count

    def close(self) -> None:
        """Let no more requests in."""
        self._closed = True

    def __enter__(self) -> bool:
        with self._lock:
            entered = not self._closed and self._count < self._limit
            self._count += entered
        self._entered.value = entered
        return entered

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._entered.value:
            with self._lock:
                self._count -= 1
