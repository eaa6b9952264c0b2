"""Keep the owner's admission in step with the configuration."""

from typing import Protocol

from corianderhold.coordination.owner.admission import Admission, AdmissionPolicy
from corianderhold.coordination.owner.limit import ConcurrencyLimit, FixedLimit
from corianderhold.ids import OrganisationId, ServiceName
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Service
from corianderhold.state.membership.target import TargetStatus

DEFAULT_SERVICE = Service(ServiceName("default"))


class TargetSource(Protocol):
    """Give the local target as it is at this moment."""

    def read_target(self) -> TargetStatus:
        """Return the target's state, service and address."""


def build_default_limit() -> ConcurrencyLimit:
    """Return the limit of a service that is not configured."""
    return FixedLimit(DEFAULT_SERVICE.max_concurrency)


def build_default_policy() -> AdmissionPolicy:
    """Return the policy of a service that is not configured."""
    return AdmissionPolicy(DEFAULT_SERVICE.queue_length, lambda organisation: 1.0)


class AdmissionConfigurator:
    """Give the admission the limit and weights of the local target's service."""

    def __init__(
        self, admission: Admission, holder: ConfigurationHolder, source: TargetSource
    ) -> None:
        self._admission = admission
        self._holder = holder
        self._source = source

    def start(self) -> None:
        """Follow the configuration."""
        self._holder.add_listener(self.apply)

    def stop(self) -> None:
        """Hold nothing that needs releasing."""

    def apply(self, configuration: Configuration) -> None:
        """Take the limit, queue and weights over."""
        name = self._source.read_target().service
        service = configuration.services.get(name) if name else None
        service = service or DEFAULT_SERVICE

        def weigh(organisation: OrganisationId) -> float:
            found = configuration.organisations.get(organisation)
            return found.weight if found else 1.0

        self._admission.replace_policy(
            FixedLimit(service.max_concurrency),
            AdmissionPolicy(service.queue_length, weigh),
        )
