"""Compute deltas between configurations and rebase conflicting drafts."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

from corianderhold.state.configuration.faults import EntityKind
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import Delta, Draft

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@dataclass(frozen=True)
class EntityName:
    """The kind and name that identify an entity."""

    kind: EntityKind
    name: str


def rebase_draft(
    draft: Draft, base: Configuration, current: Configuration
) -> Result[Draft, tuple[EntityName, ...]]:
    """
    Return the draft rebased onto `current`, or the entities that conflict.

    `base` is the configuration that the draft was made from. An entity conflicts if
    both sides changed it. References between entities are validated by the fold.
    """
    base_changes = _list_changed_entities(compute_delta(base, current, with_keys=True))
    own_changes = _list_changed_entities(draft.delta)
    conflicts = sorted(
        base_changes & own_changes, key=lambda each: (each.kind.value, each.name)
    )
    if conflicts:
        return Err(tuple(conflicts))
    return Ok(Draft(current.version, draft.delta))


def _list_changed_entities(delta: Delta) -> frozenset[EntityName]:
    names: dict[EntityKind, set[str]] = {
        EntityKind.SERVICE: {each.name for each in delta.services},
        EntityKind.ROUTE: {each.name for each in delta.routes},
        EntityKind.ORGANISATION: {each.name for each in delta.organisations},
        EntityKind.KEY: {each.key_id for each in delta.keys},
    }
    if delta.limits is not None:
        names[EntityKind.LIMITS] = {EntityKind.LIMITS.value}
    names[EntityKind.SERVICE].update(delta.removed_services)
    names[EntityKind.ROUTE].update(delta.removed_routes)
    names[EntityKind.ORGANISATION].update(delta.removed_organisations)
    names[EntityKind.KEY].update(delta.removed_keys)
    return frozenset(
        EntityName(kind, name) for kind, each in names.items() for name in each
    )


def compute_delta(
    current: Configuration, wanted: Configuration, with_keys: bool = False
) -> Delta:
    """
    Return the delta that turns the entities of `current` into those of `wanted`.

    Without `with_keys`, the delta leaves keys alone, except that it removes the keys
    of removed organisations.
    """
    removed_organisations = _list_removed(current.organisations, wanted.organisations)
    current_routes = {each.name: each for each in current.routes}
    wanted_routes = {each.name: each for each in wanted.routes}
    removed_keys = tuple(
        key_id
        for key_id, key in sorted(current.keys.items())
        if key.organisation in removed_organisations
    )
    if with_keys:
        removed_keys = _list_removed(current.keys, wanted.keys)
    return Delta(
        services=_list_changed(current.services, wanted.services),
        routes=_list_changed(current_routes, wanted_routes),
        organisations=_list_changed(current.organisations, wanted.organisations),
        removed_services=_list_removed(current.services, wanted.services),
        removed_routes=_list_removed(current_routes, wanted_routes),
        removed_organisations=removed_organisations,
        keys=_list_changed(current.keys, wanted.keys) if with_keys else (),
        removed_keys=removed_keys,
        limits=wanted.limits if wanted.limits != current.limits else None,
    )


def _list_changed(current: Mapping[K, V], wanted: Mapping[K, V]) -> tuple[V, ...]:
    return tuple(each for name, each in wanted.items() if current.get(name) != each)


def _list_removed(current: Mapping[K, V], wanted: Mapping[K, V]) -> tuple[K, ...]:
    return tuple(name for name in current if name not in wanted)
