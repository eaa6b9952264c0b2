"""
Test that admission follows the configuration and the local target.

A change that is missed, or applied in the wrong order, leaves the target with an old
limit, and calls in the queue of a target that no longer serves.
"""

import threading
from collections.abc import Callable
from dataclasses import replace
from random import Random
from unittest import TestCase

from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.owner.admission import AdmissionController
from corianderhold.coordination.owner.const import INITIAL_LIMIT
from corianderhold.coordination.owner.guard import PlacementGuard
from corianderhold.coordination.owner.limit import FixedLimit
from corianderhold.coordination.owner.policy import (
    AdmissionConfigurator,
    build_default_limit,
    build_default_policy,
)
from corianderhold.ids import FailureDomainId, InstanceId, RegionId, Version
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Service
from corianderhold.state.membership.locality import Locality
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import ABSENT_TARGET, TargetStatus
from tests.common.calls import CATALOGUE, make_context
from tests.common.clock import FakeClock
from tests.common.waiting import wait_until

ADDRESS = Address("127.0.0.1", 1)
OWN_PLACE = Locality(InstanceId("owner"), FailureDomainId("west-a"), RegionId("west"))
SERVING = TargetStatus(TargetState.SERVING, CATALOGUE, ADDRESS)


class FakeSource:
    """Provide a target that the test changes."""

    def __init__(self) -> None:
        self.target = ABSENT_TARGET
        self.listeners: list[Callable[[TargetStatus], None]] = []

    def read_target(self) -> TargetStatus:
        """Return the current target."""
        return self.target

    def suspend_target(self, status: TargetStatus) -> None:
        """Make the target absent."""
        self.announce(ABSENT_TARGET)

    def drain_start(self, status: TargetStatus) -> None:
        raise AssertionError(status)

    def add_target_listener(self, listener: Callable[[TargetStatus], None]) -> None:
        """Add a listener."""
        self.listeners.append(listener)

    def announce(self, target: TargetStatus) -> None:
        """Change the target and notify the listeners."""
        self.target = target
        for listener in self.listeners:
            listener(target)


class AdmissionConfiguratorTests(TestCase):
    """Apply changes of the configuration and the target in either order."""

    def setUp(self) -> None:
        self.admission = AdmissionController(
            build_default_limit(), build_default_policy(), FakeClock(), Random(1)
        )
        self.refused: list[Reason] = []
        self.holder = ConfigurationHolder()
        self.source = FakeSource()
        guard = PlacementGuard(EligibilityRules(self.holder), OWN_PLACE)
        AdmissionConfigurator(
            self.admission, self.holder, self.source, guard, FakeClock()
        ).start()

    def configure(self, version: int, limit: int, adaptive: bool = False) -> None:
        service = Service(CATALOGUE, limit, 3, adaptive_limit=adaptive)
        services = {CATALOGUE: service}
        self.holder.replace(Configuration(Version(version), services))

    def read_limit(self) -> int:
        return self.admission.report_load(False).limit

    def test_target_announced_after_the_configuration_is_limited(self) -> None:
        self.configure(1, 5)
        self.source.announce(SERVING)
        self.assertEqual(self.read_limit(), 5)

    def test_target_announced_before_the_configuration_is_limited(self) -> None:
        self.source.announce(SERVING)
        self.configure(1, 6)
        self.assertEqual(self.read_limit(), 6)
        self.configure(2, 7)
        self.assertEqual(self.read_limit(), 7)

    def test_adaptive_limit_begins_below_its_bound(self) -> None:
        self.configure(1, 50, adaptive=True)
        self.source.announce(SERVING)
        self.assertEqual(self.read_limit(), INITIAL_LIMIT)

    def test_slots_and_connections_bound_the_limit(self) -> None:
        cases = ((20, None, 20), (20, 10, 9), (90, 90, 50))
        for version, (slots, connections, expected) in enumerate(cases, 1):
            service = Service(CATALOGUE, 50, max_connections=connections)
            self.holder.replace(Configuration(Version(version), {CATALOGUE: service}))
            self.source.announce(replace(SERVING, slots=slots))
            self.assertEqual(self.read_limit(), expected)

    def test_target_that_returns_gets_a_new_limit(self) -> None:
        self.configure(1, 5)
        self.source.announce(SERVING)
        self.admission.replace_limit(FixedLimit(9))
        self.configure(2, 5)
        self.assertEqual(self.read_limit(), 9)
        self.source.announce(ABSENT_TARGET)
        self.source.announce(SERVING)
        self.assertEqual(self.read_limit(), 5)

    def test_queued_calls_are_refused_when_the_target_drains_or_leaves(self) -> None:
        for ending in (replace(SERVING, state=TargetState.DRAINING), ABSENT_TARGET):
            self.configure(1 + len(self.refused), 1)
            self.source.announce(SERVING)
            context = make_context()
            self.admission.acquire(context, lambda waiter: None)
            waiting = threading.Thread(target=self.wait_in_queue)
            waiting.start()
            wait_until(
                lambda: self.admission.report_load(False).queued == 1, "a waiter"
            )
            self.source.announce(ending)
            waiting.join()
            self.admission.release_unsent()
        self.assertEqual(self.refused, [Reason.DRAINING] * 2)

    def test_queued_calls_are_refused_when_the_domain_is_evacuated(self) -> None:
        self.configure(1, 1)
        self.source.announce(SERVING)
        self.admission.acquire(make_context(), lambda waiter: None)
        waiting = threading.Thread(target=self.wait_in_queue)
        waiting.start()
        wait_until(lambda: self.admission.report_load(False).queued == 1, "a waiter")
        current = self.holder.current
        evacuated = frozenset({OWN_PLACE.domain})
        self.holder.replace(replace(current, evacuated=evacuated))
        waiting.join()
        self.assertEqual(self.refused, [Reason.DRAINING])

    def wait_in_queue(self) -> None:
        outcome = self.admission.acquire(make_context(), lambda waiter: None)
        self.refused.append(outcome.unwrap_err().reason)
