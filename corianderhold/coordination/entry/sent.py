"""Remember where each call in flight was sent."""

import threading
from dataclasses import dataclass

from corianderhold.ids import CallId
from corianderhold.state.membership.model import Member


@dataclass
class SentCall:
    """A call in flight: the daemon that has it, and whether it was cancelled."""

    member: Member | None = None
    cancelled: bool = False


class SentCalls:
    """Find the daemon that has a call, so that the call can be cancelled there."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: dict[CallId, SentCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def begin(self, call_id: CallId) -> None:
        """Note a call that has not been sent yet."""
        with self._lock:
            self._calls[call_id] = SentCall()

    def note(self, call_id: CallId, member: Member) -> None:
        """Note the daemon that has the call now."""
        with self._lock:
            self._calls.setdefault(call_id, SentCall()).member = member

    def forget(self, call_id: CallId) -> None:
        """Forget a call that ended."""
        with self._lock:
            self._calls.pop(call_id, None)

    def find(self, call_id: CallId) -> Member | None:
        """Return the daemon that has the call now, None if it ended."""
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
