"""Recognise frames that come a second time."""

import threading
from collections import OrderedDict

from corianderhold.ids import CallId


class RecentCalls:
    """
    Remember the ids of calls until their frames are too late to be accepted anyway.

    The memory is bounded by the calls that come within the longest acceptance time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accept_by: OrderedDict[CallId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._accept_by)

    def add(self, call_id: CallId, accept_by: float, now: float) -> bool:
        """Remember a call until `accept_by`; return False if it is known already."""
        with self._lock:
            self._forget_late(now)
            if call_id in self._accept_by:
                return False
            self._accept_by[call_id] = accept_by
            return True

    def _forget_late(self, now: float) -> None:
        """Forget from the oldest on; a longer time further on only waits its turn."""
        while self._accept_by:
            call_id, accept_by = next(iter(self._accept_by.items()))
            if accept_by > now:
                return
            del self._accept_by[call_id]
