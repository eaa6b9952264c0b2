"""Define the records of the configuration stream."""

from dataclasses import dataclass, field

from corianderhold.ids import (
    ChangeId,
    FailureDomainId,
    KeyId,
    Offset,
    OrganisationId,
    RouteName,
    ServiceName,
    Version,
)
from corianderhold.state.configuration.model import (
    ApiKey,
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    Service,
)


@dataclass(frozen=True)
class Delta:
    """
    Entities that a change adds or replaces, and names of those that it removes.

    `limits` is None if the change does not affect them.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    keys: tuple[ApiKey, ...] = ()
    removed_services: tuple[ServiceName, ...] = ()
    removed_routes: tuple[RouteName, ...] = ()
    removed_organisations: tuple[OrganisationId, ...] = ()
    removed_keys: tuple[KeyId, ...] = ()
    limits: CallerLimits | None = None


@dataclass(frozen=True)
class Draft:
    """A change that has no id and no author yet."""

    base_version: Version
    delta: Delta


@dataclass(frozen=True)
class ChangeRecord:
    """
    A change that its author based on version `base_version`.

    `made_at` is in seconds since the Unix epoch on the author's clock.
    """

    change_id: ChangeId
    base_version: Version
    author: str
    made_at: float
    note: str
    delta: Delta


@dataclass(frozen=True)
class RecentChange:
    """
    A change that was folded recently, kept to detect duplicates.

    `version` is the version that the change produced, or None if it was refused.
    """

    change_id: ChangeId
    version: Version | None
    author: str


@dataclass(frozen=True)
class SnapshotRecord:
    """
    The complete state after folding all records up to and including `folded_to`.

    `digest` is the digest of the state and is verified on reading; `folded_to` is -1
    before the first record. With `keeps_evacuations`, the snapshot has no information
    on evacuations, and those already known remain.
    """

    configuration: Configuration
    folded_to: Offset
    digest: str
    remembered: tuple[RecentChange, ...] = field(default=())
    keeps_evacuations: bool = False


@dataclass(frozen=True)
class EvacuationRecord:
    """Start the evacuation of a failure domain, or end it if not `active`."""

    domain: FailureDomainId
    active: bool
