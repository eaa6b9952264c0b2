"""Keep the owner's admission in step with the configuration and the target."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.owner.admission import Admission, AdmissionPolicy
from corianderhold.coordination.owner.const import CONNECTIONS_PART
from corianderhold.coordination.owner.guard import PlaceGuard
from corianderhold.coordination.owner.limit import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
    SlotLimit,
)
from corianderhold.ids import OrganisationId, ServiceName
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Service
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus

DEFAULT_SERVICE = Service(ServiceName("default"))


class TargetSource(Protocol):
    """Give the local target as it is at this moment."""

    def read_target(self) -> TargetStatus:
        """Return the target's state, service and address."""

    def suspend_target(self, status: TargetStatus) -> None:
        """Hold the target for absent until its next heartbeat."""


class ObservedTargetSource(TargetSource, Protocol):
    """Give the local target, and tell when it changes."""

    def add_target_listener(self, listener: Callable[[TargetStatus], None]) -> None:
        """Call `listener` at each change, in the thread that brings it about."""


@dataclass(frozen=True)
class LimitKey:
    """What a limit was built for; a change of it calls for a new limit."""

    target: TargetStatus
    bound: int
    adaptive: bool


def build_default_limit() -> ConcurrencyLimit:
    """Return the limit of a service that is not configured."""
    return FixedLimit(DEFAULT_SERVICE.max_concurrency)


def build_default_policy() -> AdmissionPolicy:
    """Return the policy of a service that is not configured."""
    return AdmissionPolicy(DEFAULT_SERVICE.queue_length, lambda organisation: 1.0)


class AdmissionConfigurator:
    """
    Give the admission the limit and weights of the local target's service.

    A limit that has learnt is kept until the target or its service's bound changes. A
    target that was evacuated may have become cold meanwhile, whatever it said before.
    """

    def __init__(
        self,
        admission: Admission,
        holder: ConfigurationHolder,
        source: ObservedTargetSource,
        guard: PlaceGuard,
        clock: Clock,
    ) -> None:
        self._admission = admission
        self._holder = holder
        self._source = source
        self._guard = guard
        self._clock = clock
        self._lock = threading.Lock()
        self._key: LimitKey | None = None
        self._was_evacuated = False

    def start(self) -> None:
        """Follow the configuration and the local target."""
        self._holder.add_listener(self._follow_configuration)
        self._source.add_target_listener(self._follow_target)

    def stop(self) -> None:
        """Hold nothing that needs releasing."""

    def apply(self) -> None:
        """Take the limit, queue and weights of the present target over."""
        with self._lock:
            target = self._source.read_target()
            configuration = self._holder.current
            service = find_service(configuration, target)
            self._admission.replace_policy(
                AdmissionPolicy(
                    service.queue_length, weigh_by(configuration), service.cold_rate
                )
            )
            if target.state is TargetState.DRAINING:
                return
            bound = bound_concurrency(service, target)
            key = LimitKey(target, bound, service.adaptive_limit)
            if key != self._key:
                self._key = key
                self._admission.replace_limit(self._build_limit(key))

    def _build_limit(self, key: LimitKey) -> ConcurrencyLimit:
        if not key.adaptive:
            return FixedLimit(key.bound)
        if key.target.slots:
            return SlotLimit(key.bound, key.target.cold_until, self._clock)
        return AdaptiveLimit(key.bound, self._clock)

    def _follow_configuration(self, configuration: Configuration) -> None:
        if self._guard.is_evacuated():
            self._was_evacuated = True
            self._admission.refuse_waiting()
        elif self._was_evacuated:
            self._was_evacuated = False
            self._admission.suspect_target()
        self.apply()

    def _follow_target(self, target: TargetStatus) -> None:
        if target.state is not TargetState.SERVING:
            self._admission.refuse_waiting()
        self._admission.follow_target(target)
        known = self._key
        if known is None or known.target != target:
            self.apply()


def find_service(configuration: Configuration, target: TargetStatus) -> Service:
    """Return the target's service, or the default for an unknown one."""
    if target.service is None:
        return DEFAULT_SERVICE
    return configuration.services.get(target.service, DEFAULT_SERVICE)


def bound_concurrency(service: Service, target: TargetStatus) -> int:
    """Return how many calls the target may get at most; each takes a connection."""
    bounds = [service.max_concurrency]
    if target.slots:
        bounds.append(target.slots)
    if service.max_connections is not None:
        bounds.append(max(1, int(service.max_connections * CONNECTIONS_PART)))
    return min(bounds)


def weigh_by(configuration: Configuration) -> Callable[[OrganisationId], float]:
    """Return the function that gives an organisation's weight."""

    def weigh(organisation: OrganisationId) -> float:
        found = configuration.organisations.get(organisation)
        return found.weight if found else 1.0

    return weigh
