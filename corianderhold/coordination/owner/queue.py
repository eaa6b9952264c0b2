"""Order the calls that wait for their target."""

import threading
from dataclasses import dataclass, field
from enum import Enum

from corianderhold.ids import OrganisationId, RouteName


class WaiterState(Enum):
    """Where a waiting call stands."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EVICTED = "evicted"
    LATE = "late"


@dataclass(eq=False)
class Waiter:
    """One call that waits; its thread sleeps on `decided`."""

    importance: int
    organisation: OrganisationId
    deadline_at: float
    route: RouteName = RouteName("")
    finish_tag: float = 0.0
    cost: float = 0.0
    sequence: int = 0
    state: WaiterState = WaiterState.WAITING
    cancelled: bool = False
    decided: threading.Event = field(default_factory=threading.Event)

    def decide(self, state: WaiterState) -> None:
        """Set the outcome and wake the call's thread."""
        self.state = state
        self.decided.set()

    def cancel(self) -> None:
        """Wake the call's thread because nobody waits for the call any more."""
        self.cancelled = True
        self.decided.set()


class FairQueue:
    """
    Order by importance, then fairly between organisations by their weight.

    Organisations share by start-time fair queueing: each call gets a tag of its
    organisation's virtual time, and the lowest tag goes first. Callers hold a lock.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._tags: dict[OrganisationId, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter, weight: float) -> None:
        """Add a waiter of an organisation with this weight."""
        start = max(
            self._virtual_time, self._tags.get(waiter.organisation, float("-inf"))
        )
        waiter.cost = 1.0 / weight
        waiter.finish_tag = start + waiter.cost
        self._tags[waiter.organisation] = waiter.finish_tag
        self._sequence += 1
        waiter.sequence = self._sequence
        self._waiters.append(waiter)

    def pop(self) -> Waiter | None:
        """Take out the waiter that goes next."""
        if not self._waiters:
            return None
        best = min(
            self._waiters, key=lambda w: (-w.importance, w.finish_tag, w.sequence)
        )
        self.remove(best)
        self._virtual_time = max(self._virtual_time, best.finish_tag)
        return best

    def evict_last(self) -> Waiter | None:
        """Take out the waiter that would go last; its organisation pays nothing."""
        last = self.find_last()
        if last is not None:
            self._tags[last.organisation] -= last.cost
            self.remove(last)
        return last

    def count_at_least(self, importance: int) -> int:
        """Return the number of waiters that are at least as important."""
        return sum(waiter.importance >= importance for waiter in self._waiters)

    def find_last(self) -> Waiter | None:
        """Return the waiter that would go last."""
        if not self._waiters:
            return None
        return max(
            self._waiters, key=lambda w: (-w.importance, w.finish_tag, w.sequence)
        )

    def remove(self, waiter: Waiter) -> None:
        """Take out a waiter; do nothing if it is not in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not self._waiters:
            self._tags.clear()
