"""Remember where each call in flight was sent."""

import threading
from dataclasses import dataclass

from corianderhold.ids import CallId
from corianderhold.state.membership.model import Member


@dataclass
class Flight:
    """A call in flight: the daemon that has it, and whether it was cancelled."""

    member: Member | None = None
    cancelled: bool = False


class CancelTargets:
    """Find the daemon that has a call, so that the call can be cancelled there."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[CallId, Flight] = {}

    def __len__(self) -> int:
        return len(self._flights)

    def begin(self, call_id: CallId) -> None:
        """Note a call that has not been sent yet."""
        with self._lock:
            self._flights[call_id] = Flight()

    def note(self, call_id: CallId, member: Member) -> None:
        """Note the daemon that has the call now."""
        with self._lock:
            self._flights.setdefault(call_id, Flight()).member = member

    def forget(self, call_id: CallId) -> None:
        """Forget a call that ended."""
        with self._lock:
            self._flights.pop(call_id, None)

    def find(self, call_id: CallId) -> Member | None:
        """Return the daemon that has the call now, None if it ended."""
        with self._lock:
            flight = self._flights.get(call_id)
            return flight.member if flight else None

    def cancel(self, call_id: CallId) -> Member | None:
        """Mark a call in flight as cancelled and return the daemon that has it."""
        with self._lock:
            flight = self._flights.get(call_id)
            if flight is None:
                return None
            flight.cancelled = True
            return flight.member

    def is_cancelled(self, call_id: CallId) -> bool:
        """Return whether a call in flight was cancelled."""
        with self._lock:
            flight = self._flights.get(call_id)
            return flight is not None and flight.cancelled
