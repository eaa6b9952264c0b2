"""Apply the delta of a change to a configuration."""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from dataclasses import replace
from typing import TypeVar

from result import Err, Ok, Result

from corianderhold.ids import RouteName, Version
from corianderhold.state.configuration.faults import EntityKind, ValidationFault
from corianderhold.state.configuration.model import Configuration, Route
from corianderhold.state.configuration.records import Delta
from corianderhold.state.configuration.validation import (
    ValidationScope,
    validate_configuration,
)

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


def apply_delta(
    configuration: Configuration, delta: Delta
) -> Result[Configuration, tuple[ValidationFault, ...]]:
    """Return the next version, or all faults that the delta would cause."""
    faults = validate_delta(configuration, delta)
    if faults:
        return Err(faults)
    changed = _merge(configuration, delta)
    faults = validate_configuration(changed, _find_affected(changed, delta))
    if faults:
        return Err(faults)
    return Ok(changed)


def validate_delta(
    configuration: Configuration, delta: Delta
) -> tuple[ValidationFault, ...]:
    """Return duplicate or missing names and withdrawn keys that it would reinstate."""
    routes = {each.name for each in configuration.routes}
    return (
        *_check_names(
            EntityKind.SERVICE,
            [each.name for each in delta.services],
            delta.removed_services,
            configuration.services,
        ),
        *_check_names(
            EntityKind.ROUTE,
            [each.name for each in delta.routes],
            delta.removed_routes,
            routes,
        ),
        *_check_names(
            EntityKind.ORGANISATION,
            [each.name for each in delta.organisations],
            delta.removed_organisations,
            configuration.organisations,
        ),
        *_check_names(
            EntityKind.KEY,
            [each.key_id for each in delta.keys],
            delta.removed_keys,
            configuration.keys,
        ),
        *_check_reinstated_keys(configuration, delta),
    )


def _check_reinstated_keys(
    configuration: Configuration, delta: Delta
) -> Iterator[ValidationFault]:
    for key in delta.keys:
        old = configuration.keys.get(key.key_id)
        if old is not None and old.withdrawn and not key.withdrawn:
            accepted = "yes, since a withdrawn key stays withdrawn"
            yield ValidationFault(
                EntityKind.KEY, key.key_id, "withdrawn", "no", accepted
            )


def _check_names(
    kind: EntityKind,
    given: Iterable[str],
    removed: Iterable[str],
    present: Iterable[str],
) -> list[ValidationFault]:
    faults = []
    seen: set[str] = set()
    for name in (*given, *removed):
        if name in seen:
            accepted = "each entity once in a change"
            faults.append(ValidationFault(kind, name, "name", "given twice", accepted))
        seen.add(name)
    known = frozenset(present) if removed else frozenset()
    for name in removed:
        if name not in known:
            accepted = f"a {kind.value} of this configuration"
            faults.append(ValidationFault(kind, name, "removed", name, accepted))
    return faults


def _update(
    old: Mapping[K, V], given: Mapping[K, V], removed: Iterable[K]
) -> Mapping[K, V]:
    if not given and not removed:
        return old
    changed = {**old, **given}
    for name in removed:
        del changed[name]
    return changed


def _merge(configuration: Configuration, delta: Delta) -> Configuration:
    routes: tuple[Route, ...] = configuration.routes
    if delta.routes or delta.removed_routes:
        index = _update(
            {each.name: each for each in routes},
            {each.name: each for each in delta.routes},
            delta.removed_routes,
        )
        routes = tuple(sorted(index.values(), key=lambda each: each.name))
    return replace(
        configuration,
        version=Version(configuration.version + 1),
        services=_update(
            configuration.services,
            {each.name: each for each in delta.services},
            delta.removed_services,
        ),
        routes=routes,
        organisations=_update(
            configuration.organisations,
            {each.name: each for each in delta.organisations},
            delta.removed_organisations,
        ),
        keys=_update(
            configuration.keys,
            {each.key_id: each for each in delta.keys},
            delta.removed_keys,
        ),
        limits=configuration.limits if delta.limits is None else delta.limits,
    )


def _find_affected(changed: Configuration, delta: Delta) -> ValidationScope:
    """Return the entities that the delta may have made invalid."""
    keys = {each.key_id for each in delta.keys}
    if delta.removed_organisations:
        removed = frozenset(delta.removed_organisations)
        orphaned_keys = (
            each for each in changed.keys.values() if each.organisation in removed
        )
        keys.update(each.key_id for each in orphaned_keys)
    return ValidationScope(
        _find_affected_routes(changed, delta),
        frozenset(each.name for each in delta.organisations),
        frozenset(keys),
    )


def _find_affected_routes(changed: Configuration, delta: Delta) -> frozenset[RouteName]:
    given = frozenset(each.name for each in delta.routes)
    touched = given.union(delta.removed_routes)
    services = frozenset(delta.removed_services)
    organisations = frozenset(delta.removed_organisations)
    if not (touched or services or organisations):
        return frozenset()
    return frozenset(
        each.name
        for each in changed.routes
        if each.name in given
        or not services.isdisjoint(each.list_services())
        or not touched.isdisjoint(each.calls)
        or not organisations.isdisjoint(each.organisations)
    )
