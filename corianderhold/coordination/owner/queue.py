"""Order the calls that are queued for the target."""

import threading
from dataclasses import dataclass
from enum import Enum

from corianderhold.ids import OrganisationId, RouteName


class WaiterState(Enum):
    """The state of a queued call."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EVICTED = "evicted"
    LATE = "late"
    DRAINED = "drained"


@dataclass(eq=False)
class Waiter:
    """A call to be admitted; while it is queued, its thread waits on `resolved`."""

    importance: int
    organisation: OrganisationId
    deadline_at: float
    route: RouteName = RouteName("")
    cost: float = 0.0
    sequence: int = 0
    state: WaiterState = WaiterState.WAITING
    cancelled: bool = False
    resolved: threading.Event | None = None

    def resolve(self, state: WaiterState) -> None:
        """Set the outcome and wake the call's thread."""
        self.state = state
        self._wake()

    def cancel(self) -> None:
        """Wake the call's thread because its caller has cancelled it."""
        self.cancelled = True
        self._wake()

    def begin_wait(self) -> None:
        """Prepare to wait; from now on other threads can wake this one."""
        self.resolved = threading.Event()
        if self.cancelled:
            self.resolved.set()

    def wait(self, limit_s: float) -> None:
        """Wait up to `limit_s` until the call is resolved or cancelled."""
        if self.resolved is not None:
            self.resolved.wait(limit_s)

    def _wake(self) -> None:
        if self.resolved is not None:
            self.resolved.set()


class FairQueue:
    """
    Order by importance, then by weighted fair queueing between organisations.

    Each organisation is charged for the calls that are dequeued to be served, whatever
    their importance. Among the most important calls, one of the organisation with the
    lowest charge goes first. An organisation that joins starts at the lowest charge of
    those in the queue. Callers hold a lock.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._charges: dict[OrganisationId, float] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter, weight: float) -> None:
        """Add a waiter whose organisation has this weight."""
        organisation = waiter.organisation
        waiting = {each.organisation for each in self._waiters}
        if waiting and organisation not in waiting:
            lowest_charge = min(self._charges[each] for each in waiting)
            known = self._charges.get(organisation, lowest_charge)
            self._charges[organisation] = max(known, lowest_charge)
        self._charges.setdefault(organisation, 0.0)
        waiter.cost = 1.0 / weight
        self._sequence += 1
        waiter.sequence = self._sequence
        self._waiters.append(waiter)

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter, and charge its organisation."""
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
        """Remove and return all waiters."""
        waiters, self._waiters = self._waiters, []
        self._charges.clear()
        return waiters

    def evict_last(self) -> Waiter | None:
        """Remove and return the waiter that would be served last."""
        last = self.find_last()
        if last is not None:
            self.remove(last)
        return last

    def count_at_least(self, importance: int) -> int:
        """Return the number of waiters that are at least as important."""
        return sum(waiter.importance >= importance for waiter in self._waiters)

    def find_last(self) -> Waiter | None:
        """Return the waiter that would be served last."""
        if not self._waiters:
            return None
        lowest = min(waiter.importance for waiter in self._waiters)
        charges = dict(self._charges)
        last, last_charge = None, float("-inf")
        for waiter in self._waiters:
            if waiter.importance > lowest:
                charges[waiter.organisation] += waiter.cost
        for waiter in self._waiters:
            if waiter.importance == lowest:
                charges[waiter.organisation] += waiter.cost
                if charges[waiter.organisation] >= last_charge:
                    last, last_charge = waiter, charges[waiter.organisation]
        return last

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; do nothing if it is not in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not self._waiters:
            self._charges.clear()
