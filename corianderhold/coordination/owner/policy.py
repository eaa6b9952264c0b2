"""Apply the configuration and the target's state to the owner's admission."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.owner.admission import (
    AdmissionController,
    AdmissionPolicy,
)
from corianderhold.coordination.owner.const import USABLE_CONNECTIONS_RATIO
from corianderhold.coordination.owner.guard import PlacementGuard
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
    """Provide the current state of the local target."""

    def read_target(self) -> TargetStatus:
        """Return the target's state, service and address."""

    def suspend_target(self, status: TargetStatus) -> None:
        """Treat the target as absent until its next heartbeat."""

    def drain_start(self, status: TargetStatus) -> None:
        """Stop new work for a start of the target that says that it leaves."""


class ObservedTargetSource(TargetSource, Protocol):
    """Provide the local target, and notify listeners of changes."""

    def add_target_listener(self, listener: Callable[[TargetStatus], None]) -> None:
        """Call `listener` at each change, in the thread that makes it."""


@dataclass(frozen=True)
class LimitKey:
    """The inputs of a limit; when they change, a new limit is built."""

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
    Configure admission by the limit and weights of the local target's service.

    An adapted limit is kept until the target or its service's bound changes. After an
    evacuation the target is treated as cold: it may have cooled down without calls,
    whatever its heartbeats said before.
    """

    def __init__(
        self,
        admission: AdmissionController,
        holder: ConfigurationHolder,
        source: ObservedTargetSource,
        guard: PlacementGuard,
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
        """Listen for changes of the configuration and of the local target."""
        self._holder.add_listener(self._apply_configuration)
        self._source.add_target_listener(self._apply_target)

    def stop(self) -> None:
        """Do nothing; no resources are held."""

    def apply(self) -> None:
        """Apply the limit, queue length and weights of the current target."""
        with self._lock:
            target = self._source.read_target()
            configuration = self._holder.current
            service = find_service(configuration, target)
            self._admission.replace_policy(
                AdmissionPolicy(
                    service.queue_length,
                    build_weight_lookup(configuration),
                    service.cold_rate,
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

    def _apply_configuration(self, configuration: Configuration) -> None:
        if self._guard.is_evacuated():
            self._was_evacuated = True
            self._admission.refuse_queued()
        elif self._was_evacuated:
            self._was_evacuated = False
            self._admission.assume_target_cold()
        self.apply()

    def _apply_target(self, target: TargetStatus) -> None:
        if target.state is not TargetState.SERVING:
            self._admission.refuse_queued()
        self._admission.update_target(target)
        known = self._key
        if known is None or known.target != target:
            self.apply()


def find_service(configuration: Configuration, target: TargetStatus) -> Service:
    """Return the target's service, or the default for an unknown one."""
    if target.service is None:
        return DEFAULT_SERVICE
    return configuration.services.get(target.service, DEFAULT_SERVICE)


def bound_concurrency(service: Service, target: TargetStatus) -> int:
    """Return the highest concurrency of the target; each call takes a connection."""
    bounds = [service.max_concurrency]
    if target.slots:
        bounds.append(target.slots)
    if service.max_connections is not None:
        bounds.append(max(1, int(service.max_connections * USABLE_CONNECTIONS_RATIO)))
    return min(bounds)


def build_weight_lookup(
    configuration: Configuration,
) -> Callable[[OrganisationId], float]:
    """Return the function that gives an organisation's weight."""

    def find_weight(organisation: OrganisationId) -> float:
        found = configuration.organisations.get(organisation)
        return found.weight if found else 1.0

    return find_weight
