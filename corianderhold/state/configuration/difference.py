"""Compare configurations, and rebase a draft that lost a race."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import Delta, Draft, EntityKind

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@dataclass(frozen=True)
class EntityName:
    """The kind and name that tell an entity from all others."""

    kind: EntityKind
    name: str


def rebase_draft(
    draft: Draft, base: Configuration, current: Configuration
) -> Result[Draft, tuple[EntityName, ...]]:
    """
    Return the draft made anew from `current`, or the entities that both changed.

    `base` is the configuration that the draft was made from. References between
    entities are not checked here but by the fold.
    """
    since = _list_touched(compute_delta(base, current, with_keys=True))
    touched = _list_touched(draft.delta)
    conflicts = sorted(since & touched, key=lambda each: (each.kind.value, each.name))
    if conflicts:
        return Err(tuple(conflicts))
    return Ok(Draft(current.version, draft.delta))


def _list_touched(delta: Delta) -> frozenset[EntityName]:
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
    Return what makes the entities of `current` those of `wanted`.

    Unless `with_keys`, keys are left as they are, but for those of organisations
    that are removed.
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
