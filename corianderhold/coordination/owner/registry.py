"""Track the calls that are in flight at this owner."""

import secrets
import socket
import threading
from dataclasses import dataclass, field

from corianderhold.coordination.call import CallContext, InlineBody, RequestBody
from corianderhold.coordination.owner.const import CONTEXT_TOKEN_BYTES
from corianderhold.coordination.owner.queue import Waiter
from corianderhold.coordination.quarantine.trial import Trial
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId
from corianderhold.state.membership.target import TargetStatus


def generate_token() -> str:
    """Return a random token that can't be guessed."""
    return secrets.token_hex(CONTEXT_TOKEN_BYTES)


@dataclass(eq=False)
class InFlightCall:
    """
    A call that is queued or running at this owner.

    `token` identifies the call when the target sends it with nested calls; it is empty
    for a target that sends none. It is random, carries no data and is valid only
    during the call. `request_id` is the caller's id of the request, if there is one.
    `target` is what the call was sent to, None before; `trial` is that of a call that
    may crash its target.
    """

    context: CallContext
    retries: RetryBudget
    token: str = field(repr=False, default_factory=generate_token)
    request_id: str | None = None
    body: RequestBody = field(repr=False, default=InlineBody(b""))
    target: TargetStatus | None = None
    trial: Trial | None = None
    cancelled: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock, repr=False)
    _connection: socket.socket | None = None
    _waiter: Waiter | None = None
    _nested_s: float = 0.0

    @property
    def nested_s(self) -> float:
        """Return the total seconds that the target waited for nested calls."""
        return self._nested_s

    def record_nested(self, duration_s: float) -> None:
        """Add the duration of a nested call."""
        with self._lock:
            self._nested_s += duration_s

    def register_waiter(self, waiter: Waiter) -> None:
        """Set the call's waiter, which a cancellation removes from the queue."""
        with self._lock:
            self._waiter = waiter
            if self.cancelled:
                waiter.cancel()

    def attach_connection(self, connection: socket.socket | None) -> None:
        """Set the connection to the target, which a cancellation shuts down."""
        with self._lock:
            self._connection = connection
            if connection is not None and self.cancelled:
                shut_down(connection)

    def cancel(self) -> None:
        """Cancel the call: stop its wait, and close its connection to the target."""
        with self._lock:
            self.cancelled = True
            if self._waiter is not None:
                self._waiter.cancel()
            if self._connection is not None:
                shut_down(self._connection)


def shut_down(connection: socket.socket) -> None:
    """Shut down a connection, which wakes the thread that reads from it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # already closed


class InFlightCalls:
    """Index the calls in flight by id and by token."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[CallId, InFlightCall] = {}
        self._by_token: dict[str, InFlightCall] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, call: InFlightCall) -> None:
        """Add a call; it replaces an earlier call of the same id in the index."""
        with self._lock:
            self._by_id[call.context.call_id] = call
            if call.token:
                self._by_token[call.token] = call

    def remove(self, call: InFlightCall) -> None:
        """Remove a call and invalidate its token."""
        with self._lock:
            if self._by_id.get(call.context.call_id) is call:
                del self._by_id[call.context.call_id]
            self._by_token.pop(call.token, None)

    def list_calls(self) -> list[InFlightCall]:
        """Return the calls that are queued or running."""
        with self._lock:
            return list(self._by_id.values())

    def find_by_token(self, token: str) -> InFlightCall | None:
        """Return the call whose token this is, or None."""
        return self._by_token.get(token)

    def cancel(self, call_id: CallId) -> InFlightCall | None:
        """Cancel a call and return it, or None if it is not in flight here."""
        with self._lock:
            call = self._by_id.get(call_id)
        if call is not None:
            call.cancel()
        return call
