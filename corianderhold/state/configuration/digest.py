"""Compute the digest of a configuration incrementally."""

from collections.abc import Iterable
from hashlib import sha256

from corianderhold.ids import FailureDomainId
from corianderhold.state.configuration.entities import (
    JsonObject,
    dump_json,
    key_to_json,
    limits_to_json,
    organisation_to_json,
    route_to_json,
    service_to_json,
)
from corianderhold.state.configuration.faults import EntityKind
from corianderhold.state.configuration.model import CallerLimits, Configuration
from corianderhold.state.configuration.records import Delta

SUM_MODULUS = 2**256


def hash_entity(kind: EntityKind, value: JsonObject) -> int:
    """Return the SHA-256 hash of an entity as an integer."""
    text = f"{kind.value}:{dump_json(value)}"
    return int.from_bytes(sha256(text.encode()).digest(), "big")


def sum_content(configuration: Configuration) -> int:
    """Return the sum of the hashes of all entities, modulo 2**256."""
    return sum(_hash_all(configuration)) % SUM_MODULUS


def _hash_all(configuration: Configuration) -> Iterable[int]:
    for service in configuration.services.values():
        yield hash_entity(EntityKind.SERVICE, service_to_json(service))
    for route in configuration.routes:
        yield hash_entity(EntityKind.ROUTE, route_to_json(route))
    for organisation in configuration.organisations.values():
        value = organisation_to_json(organisation)
        yield hash_entity(EntityKind.ORGANISATION, value)
    for key in configuration.keys.values():
        yield hash_entity(EntityKind.KEY, key_to_json(key))
    if configuration.limits != CallerLimits():
        yield hash_entity(EntityKind.LIMITS, limits_to_json(configuration.limits))
    yield from _hash_evacuated(configuration.evacuated)


def _hash_evacuated(domains: frozenset[FailureDomainId]) -> Iterable[int]:
    for domain in domains:
        yield hash_entity(EntityKind.EVACUATION, {"domain": domain})


def update_content_sum(
    content_sum: int, before: Configuration, after: Configuration, delta: Delta
) -> int:
    """Return the sum of `after`, where `delta` turned `before` into `after`."""
    old = sum_content(_select_entities(before, delta))
    new = sum_content(_select_entities(after, delta))
    return (content_sum - old + new) % SUM_MODULUS


def update_evacuations(
    content_sum: int,
    before: frozenset[FailureDomainId],
    after: frozenset[FailureDomainId],
) -> int:
    """Return the sum after a change of the evacuated failure domains."""
    old = sum(_hash_evacuated(before - after))
    new = sum(_hash_evacuated(after - before))
    return (content_sum - old + new) % SUM_MODULUS


def _select_entities(configuration: Configuration, delta: Delta) -> Configuration:
    """Return only the entities that `delta` names."""
    services = {each.name for each in delta.services}.union(delta.removed_services)
    routes = {each.name for each in delta.routes}.union(delta.removed_routes)
    organisations = {each.name for each in delta.organisations}
    organisations.update(delta.removed_organisations)
    keys = {each.key_id for each in delta.keys}.union(delta.removed_keys)
    old = configuration
    return Configuration(
        version=old.version,
        services={name: old.services[name] for name in services & set(old.services)},
        routes=tuple(each for each in old.routes if each.name in routes)
        if routes
        else (),
        organisations={
            name: old.organisations[name]
            for name in organisations
            if name in old.organisations
        },
        keys={key_id: old.keys[key_id] for key_id in keys if key_id in old.keys},
        limits=CallerLimits() if delta.limits is None else old.limits,
    )


def compute_digest(configuration: Configuration, content_sum: int) -> str:
    """Return the digest of a version number and its content in hexadecimal."""
    text = f"{configuration.version}:{content_sum:064x}"
    return sha256(text.encode()).hexdigest()
