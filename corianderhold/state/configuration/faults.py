"""Describe faults of the entities of a configuration."""

from dataclasses import dataclass
from enum import Enum


class EntityKind(Enum):
    """The kinds of entity that a configuration holds."""

    SERVICE = "service"
    ROUTE = "route"
    ORGANISATION = "organisation"
    KEY = "key"
    LIMITS = "limits"
    EVACUATION = "evacuation"


@dataclass(frozen=True)
class ValidationFault:
    """A validation fault of an entity: the option, its value and the accepted ones."""

    kind: EntityKind
    name: str
    option: str
    given: str
    accepted: str
