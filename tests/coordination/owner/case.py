"""Base class of the admission tests."""

import threading
from random import Random
from unittest import TestCase

from result import Err, Result

from corianderhold.clock import Clock
from corianderhold.coordination.owner.admission import (
    AdmissionController,
    AdmissionPolicy,
)
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.coordination.owner.queue import Waiter
from corianderhold.ids import RouteName
from corianderhold.protocol.verdict import Refusal
from tests.common.calls import make_context
from tests.common.waiting import wait_until

SEARCH = RouteName("search")


class AdmissionCase(TestCase):
    """Test admission with a limit of one call and a queue of two, on real threads."""

    clock: Clock

    def setUp(self) -> None:
        policy = AdmissionPolicy(2, lambda organisation: 1.0)
        self.admission = AdmissionController(
            FixedLimit(1), policy, self.clock, Random(1)
        )
        self.outcomes: dict[str, Result[Waiter, Refusal]] = {}
        self.waiters: dict[str, Waiter] = {}

    def acquire(
        self,
        name: str,
        importance: int = 1,
        left_s: float = 30.0,
        organisation: str = "schools",
    ) -> None:
        deadline_at = self.clock.read_monotonic() + left_s
        context = make_context(name, importance, organisation, deadline_at)
        self.outcomes[name] = self.admission.acquire(
            context, lambda waiter: self.waiters.update({name: waiter})
        )

    def queue(
        self, name: str, importance: int = 1, left_s: float = 30.0
    ) -> threading.Thread:
        """Start a thread that acquires, and wait until it is queued or refused."""
        queued = self.admission.report_load(False).queued
        arguments = (name, importance, left_s)
        thread = threading.Thread(target=self.acquire, args=arguments)
        thread.start()
        wait_until(
            lambda: (
                self.admission.report_load(False).queued > queued
                or not thread.is_alive()
                or any(isinstance(o, Err) for o in self.outcomes.values())
            ),
            f"{name} is queued or refused",
        )
        return thread

    def release(self, duration_s: float = 0.0) -> None:
        started_at = self.clock.read_monotonic() - duration_s
        self.admission.release(SEARCH, started_at, failed=False)
