"""Compare two configurations."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import Delta

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


def compute_delta(current: Configuration, wanted: Configuration) -> Delta:
    """
    Return what makes the entities of `current` those of `wanted`.

    Keys are left as they are, but for those of organisations that are removed.
    """
    removed_organisations = _list_removed(current.organisations, wanted.organisations)
    current_routes = {each.name: each for each in current.routes}
    wanted_routes = {each.name: each for each in wanted.routes}
    return Delta(
        services=_list_changed(current.services, wanted.services),
        routes=_list_changed(current_routes, wanted_routes),
        organisations=_list_changed(current.organisations, wanted.organisations),
        removed_services=_list_removed(current.services, wanted.services),
        removed_routes=_list_removed(current_routes, wanted_routes),
        removed_organisations=removed_organisations,
        removed_keys=tuple(
            key_id
            for key_id, key in sorted(current.keys.items())
            if key.organisation in removed_organisations
        ),
    )


def _list_changed(current: Mapping[K, V], wanted: Mapping[K, V]) -> tuple[V, ...]:
    return tuple(each for name, each in wanted.items() if current.get(name) != each)


def _list_removed(current: Mapping[K, V], wanted: Mapping[K, V]) -> tuple[K, ...]:
    return tuple(name for name in current if name not in wanted)
