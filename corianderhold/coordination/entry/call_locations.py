"""Track which daemon has each call in flight."""

import threading
from dataclasses import dataclass

from corianderhold.ids import CallId
from corianderhold.state.membership.model import Member


@dataclass
class CallLocation:
    """The daemon that has a call in flight, and whether the call was cancelled."""

    member: Member | None = None
    cancelled: bool = False


class CallLocations:
    """Map calls in flight to the daemons that have them, for cancellation."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: dict[CallId, CallLocation] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call_id: CallId) -> None:
        """Add a call that has not been sent yet."""
        with self._lock:
            self._calls[call_id] = CallLocation()

    def set_location(self, call_id: CallId, member: Member) -> None:
        """Set the daemon that has the call now."""
        with self._lock:
            self._calls.setdefault(call_id, CallLocation()).member = member

    def remove(self, call_id: CallId) -> None:
        """Remove a call that has ended."""
        with self._lock:
            self._calls.pop(call_id, None)

    def find(self, call_id: CallId) -> Member | None:
        """Return the daemon that has the call now, or None."""
        with self._lock:
            call = self._calls.get(call_id)
            return call.member if call else None

    def cancel(self, call_id: CallId) -> Member | None:
        """Mark a call in flight as cancelled and return the daemon that has it."""
        with self._lock:
            call = self._calls.get(call_id)
            if call is None:
                return None
            call.cancelled = True
            return call.member

    def is_cancelled(self, call_id: CallId) -> bool:
        """Return whether a call in flight was cancelled."""
        with self._lock:
            call = self._calls.get(call_id)
            return call is not None and call.cancelled
