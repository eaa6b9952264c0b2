"""Remember which calls were answered lately, to exonerate them at a crash."""

import threading
from collections import OrderedDict

from corianderhold.clock import Clock
from corianderhold.coordination.call import CallContext, RequestBody
from corianderhold.coordination.quarantine.const import (
    SUCCESS_LIFETIME_S,
    SUCCESSES_MAX,
)


class RecentSuccesses:
    """
    Know the calls that the local target answered within SUCCESS_LIFETIME_S.

    Only hashes with a random seed are kept, which cost far less than fingerprints. A
    collision exonerates a call at one owner, once.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_at: OrderedDict[int, float] = OrderedDict()

    def record(self, context: CallContext, body: RequestBody) -> None:
        """Record a call that was answered."""
        key = compute_hash(context, body)
        now = self._clock.read_monotonic()
        with self._lock:
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
            if len(self._answered_at) > SUCCESSES_MAX:
                self._answered_at.popitem(last=False)

    def take(self, context: CallContext, body: RequestBody) -> bool:
        """
        Return whether a call was answered lately, and forget it.

        A call that begins to crash targets is exonerated once.
        """
        with self._lock:
            at = self._answered_at.pop(compute_hash(context, body), float("-inf"))
        return self._clock.read_monotonic() - at < SUCCESS_LIFETIME_S


def compute_hash(context: CallContext, body: RequestBody) -> int:
    """Return a hash of what makes two calls equal, valid in this process only."""
    content = body.length if body.inline is None else body.inline
    return hash(
        (
            context.organisation,
            context.service,
            context.method,
            context.path,
            content,
        )
    )
