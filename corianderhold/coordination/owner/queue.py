"""Order the calls that wait for their target."""

import threading
from dataclasses import dataclass
from enum import Enum

from corianderhold.ids import OrganisationId, RouteName


class WaiterState(Enum):
    """Where a waiting call stands."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EVICTED = "evicted"
    LATE = "late"
    DRAINED = "drained"


@dataclass(eq=False)
class Waiter:
    """One call; its thread sleeps on `decided`, which it has only while it waits."""

    importance: int
    organisation: OrganisationId
    deadline_at: float
    route: RouteName = RouteName("")
    cost: float = 0.0
    sequence: int = 0
    state: WaiterState = WaiterState.WAITING
    cancelled: bool = False
    decided: threading.Event | None = None

    def decide(self, state: WaiterState) -> None:
        """Set the outcome and wake the call's thread."""
        self.state = state
        self._wake()

    def cancel(self) -> None:
        """Wake the call's thread because nobody waits for the call any more."""
        self.cancelled = True
        self._wake()

    def begin_wait(self) -> None:
        """Let others wake the call's thread from now on."""
        self.decided = threading.Event()
        if self.cancelled:
            self.decided.set()

    def wait(self, limit_s: float) -> None:
        """Sleep until the call is decided or cancelled, or the time is over."""
        if self.decided is not None:
            self.decided.wait(limit_s)

    def _wake(self) -> None:
        if self.decided is not None:
            self.decided.set()


class FairQueue:
    """
    Order by importance, then fairly between organisations by their weight.

    Each organisation is charged for the calls that are taken out to be served, whatever
    their importance, and among the most important calls that of the organisation
    charged least goes first. One that has not waited before begins at the least charge
    of those that wait. Callers hold a lock.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._charges: dict[OrganisationId, float] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter, weight: float) -> None:
        """Add a waiter of an organisation with this weight."""
        organisation = waiter.organisation
        waiting = {each.organisation for each in self._waiters}
        if waiting and organisation not in waiting:
            least = min(self._charges[each] for each in waiting)
            known = self._charges.get(organisation, least)
            self._charges[organisation] = max(known, least)
        self._charges.setdefault(organisation, 0.0)
        waiter.cost = 1.0 / weight
        self._sequence += 1
        waiter.sequence = self._sequence
        self._waiters.append(waiter)

    def pop(self) -> Waiter | None:
        """Take out the waiter that goes next, and charge its organisation."""
        if not self._waiters:
            return None
        best = min(
            self._waiters,
            key=lambda w: (-w.importance, self._charges[w.organisation], w.sequence),
        )
        self._charges[best.organisation] += best.cost
        self.remove(best)
        return best

    def take_all(self) -> list[Waiter]:
        """Take out all waiters."""
        waiters, self._waiters = self._waiters, []
        self._charges.clear()
        return waiters

    def evict_last(self) -> Waiter | None:
        """Take out the waiter that would go last."""
        last = self.find_last()
        if last is not None:
            self.remove(last)
        return last

    def count_at_least(self, importance: int) -> int:
        """Return the number of waiters that are at least as important."""
        return sum(waiter.importance >= importance for waiter in self._waiters)

    def find_last(self) -> Waiter | None:
        """Return the waiter that would go last."""
        if not self._waiters:
            return None
        lowest = min(waiter.importance for waiter in self._waiters)
        turns = dict(self._charges)
        last, last_turn = None, float("-inf")
        for waiter in self._waiters:
            if waiter.importance > lowest:
                turns[waiter.organisation] += waiter.cost
        for waiter in self._waiters:
            if waiter.importance == lowest:
                turns[waiter.organisation] += waiter.cost
                if turns[waiter.organisation] >= last_turn:
                    last, last_turn = waiter, turns[waiter.organisation]
        return last

    def remove(self, waiter: Waiter) -> None:
        """Take out a waiter; do nothing if it is not in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not self._waiters:
            self._charges.clear()
