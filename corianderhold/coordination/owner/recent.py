"""Detect duplicate call frames."""

import threading
from collections import OrderedDict

from corianderhold.ids import CallId


class RecentCalls:
    """
    Remember the ids of calls until their frames would be refused as expired anyway.

    The size is bounded by the number of calls within the longest acceptance time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accept_by: OrderedDict[CallId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._accept_by)

    def add(self, call_id: CallId, accept_by: float, now: float) -> bool:
        """Remember a call until `accept_by`; return False if it is known already."""
        with self._lock:
            self._remove_expired(now)
            if call_id in self._accept_by:
                return False
            self._accept_by[call_id] = accept_by
            return True

    def _remove_expired(self, now: float) -> None:
        """Remove expired ids, oldest first, up to the first that has not expired."""
        while self._accept_by:
            call_id, accept_by = next(iter(self._accept_by.items()))
            if accept_by > now:
                return
            del self._accept_by[call_id]
