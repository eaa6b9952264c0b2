"""Define the records of the configuration stream."""

from dataclasses import dataclass, field
from enum import Enum

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


class EntityKind(Enum):
    """The kinds of entity that a configuration holds."""

    SERVICE = "service"
    ROUTE = "route"
    ORGANISATION = "organisation"
    KEY = "key"
    LIMITS = "limits"
    EVACUATION = "evacuation"


@dataclass(frozen=True)
class Fault:
    """One reason why an entity can't be part of a configuration."""

    kind: EntityKind
    name: str
    option: str
    given: str
    accepted: str


@dataclass(frozen=True)
class Delta:
    """
    Entities that a change sets whole, and names of those that it removes.

    `limits` is None where the change leaves them as they are.
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
    """A change as an operator drafts it, before it has an id and an author."""

    base_version: Version
    delta: Delta


@dataclass(frozen=True)
class ChangeRecord:
    """
    A change that its author made from version `base_version`.

    `made_at` is in seconds since the Unix epoch on the author's clock.
    """

    change_id: ChangeId
    base_version: Version
    author: str
    made_at: float
    note: str
    delta: Delta


@dataclass(frozen=True)
class RememberedChange:
    """
    A change that the fold has seen, kept to recognise its duplicates.

    `version` is the version that the change made, or None when it was refused.
    """

    change_id: ChangeId
    version: Version | None
    author: str


@dataclass(frozen=True)
class SnapshotRecord:
    """
    The whole state after the fold of all records up to offset `folded_to`.

    `digest` is the state's digest, checked on reading; `folded_to` is -1 before
    the first record. With `keeps_evacuations` the snapshot says nothing of evacuations,
    and those known before it stay.
    """

    configuration: Configuration
    folded_to: Offset
    digest: str
    remembered: tuple[RememberedChange, ...] = field(default=())
    keeps_evacuations: bool = False


@dataclass(frozen=True)
class EvacuationRecord:
    """Begin the evacuation of a failure domain, or end it where not `active`."""

    domain: FailureDomainId
    active: bool
