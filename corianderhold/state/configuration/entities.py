"""Convert configuration entities to and from JSON objects."""

import json
from collections.abc import Iterable
from typing import Any

from corianderhold.ids import (
    FailureDomainId,
    KeyId,
    OrganisationId,
    RegionId,
    RouteName,
    ServiceName,
    Version,
)
from corianderhold.state.configuration.faults import ValidationFault
from corianderhold.state.configuration.model import (
    ApiKey,
    CallerLimits,
    Configuration,
    Importance,
    IsolatedBehaviour,
    Organisation,
    Route,
    Service,
    TrafficSplit,
)
from corianderhold.state.configuration.records import Delta

JsonObject = dict[str, Any]
ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)


def dump_json(value: JsonObject) -> str:
    """Serialize a value as canonical, compact JSON."""
    return ENCODER.encode(value)


def _add_non_empty(value: JsonObject, optional: JsonObject) -> JsonObject:
    """
    Return a value with the optional fields that are not empty.

    Leaving empty ones out keeps the text and digest that older releases computed.
    """
    return {**value, **{name: each for name, each in optional.items() if each}}


def service_to_json(service: Service) -> JsonObject:
    """Return the JSON object of a service."""
    value = {
        "name": service.name,
        "max_concurrency": service.max_concurrency,
        "queue_length": service.queue_length,
        "retry_ratio": float(service.retry_ratio),
        "adaptive_limit": service.adaptive_limit,
    }
    optional = {
        "max_connections": service.max_connections,
        "cold_s": float(service.cold_s),
        "cold_rate": None if service.cold_rate is None else float(service.cold_rate),
    }
    return _add_non_empty(value, optional)


def route_to_json(route: Route) -> JsonObject:
    """Return the JSON object of a route."""
    value = {
        "name": route.name,
        "service": route.service,
        "path_prefix": route.path_prefix,
        "methods": sorted(route.methods),
        "importance": route.importance.name.lower(),
        "open_to_all": route.open_to_all,
        "organisations": sorted(route.organisations),
        "idempotent": route.idempotent,
        "deadline_ms": route.deadline_ms,
        "retry_budget": route.retry_budget,
        "isolated": route.isolated.value,
        "isolated_after_s": float(route.isolated_after_s),
        "calls": sorted(route.calls),
    }
    optional = {
        "host": route.host,
        "splits": [
            {"service": each.service, "weight": float(each.weight)}
            for each in route.splits
        ],
        "anonymous": route.anonymous,
        "target_latency_ms": route.target_latency_ms,
        "regions": sorted(route.regions),
    }
    return _add_non_empty(value, optional)


def organisation_to_json(organisation: Organisation) -> JsonObject:
    """Return the JSON object of an organisation."""
    value = {
        "name": organisation.name,
        "rate": float(organisation.rate),
        "burst": float(organisation.burst),
        "weight": float(organisation.weight),
        "shares": {name: float(each) for name, each in organisation.shares.items()},
    }
    importance = organisation.importance
    name = None if importance is None else importance.name.lower()
    optional = {"importance": name, "regions": sorted(organisation.regions)}
    return _add_non_empty(value, optional)


def key_to_json(key: ApiKey) -> JsonObject:
    """Return the JSON object of an API key, which holds only its digest."""
    return {
        "key_id": key.key_id,
        "organisation": key.organisation,
        "digest": key.digest,
        "withdrawn": key.withdrawn,
        "expires_at": None if key.expires_at is None else float(key.expires_at),
    }


def limits_to_json(limits: CallerLimits) -> JsonObject:
    """Return the JSON object of the caller limits."""
    return {
        "header_bytes_max": limits.header_bytes_max,
        "body_bytes_max": limits.body_bytes_max,
        "header_timeout_s": float(limits.header_timeout_s),
        "idle_timeout_s": float(limits.idle_timeout_s),
    }


def fault_to_json(fault: ValidationFault) -> JsonObject:
    """Return the JSON object of a validation fault."""
    return {
        "kind": fault.kind.value,
        "name": fault.name,
        "option": fault.option,
        "given": fault.given,
        "accepted": fault.accepted,
    }


def _entities_to_json(
    services: Iterable[Service],
    routes: Iterable[Route],
    organisations: Iterable[Organisation],
    keys: Iterable[ApiKey],
) -> JsonObject:
    return {
        "services": [service_to_json(each) for each in services],
        "routes": [route_to_json(each) for each in routes],
        "organisations": [organisation_to_json(each) for each in organisations],
        "keys": [key_to_json(each) for each in keys],
    }


def configuration_to_json(configuration: Configuration) -> JsonObject:
    """Return the JSON object of a configuration, with entities sorted by name."""
    entities = _entities_to_json(
        sorted(configuration.services.values(), key=lambda each: each.name),
        sorted(configuration.routes, key=lambda each: each.name),
        sorted(configuration.organisations.values(), key=lambda each: each.name),
        sorted(configuration.keys.values(), key=lambda each: each.key_id),
    )
    limits = {}
    if configuration.limits != CallerLimits():
        limits = limits_to_json(configuration.limits)
    optional = {"limits": limits, "evacuated": sorted(configuration.evacuated)}
    return _add_non_empty({"version": configuration.version, **entities}, optional)


def delta_to_json(delta: Delta) -> JsonObject:
    """Return the JSON object of a delta without empty lists."""
    entities = _entities_to_json(
        delta.services, delta.routes, delta.organisations, delta.keys
    )
    removed = {
        "services": list(delta.removed_services),
        "routes": list(delta.removed_routes),
        "organisations": list(delta.removed_organisations),
        "keys": list(delta.removed_keys),
    }
    if delta.limits is not None:
        entities["limits"] = limits_to_json(delta.limits)
    return {
        "set": {kind: each for kind, each in entities.items() if each},
        "removed": {kind: each for kind, each in removed.items() if each},
    }


def _service_from_json(value: JsonObject) -> Service:
    return Service(**value)


def _route_from_json(value: JsonObject) -> Route:
    return Route(
        name=RouteName(value["name"]),
        service=ServiceName(value["service"]),
        path_prefix=value["path_prefix"],
        methods=frozenset(value["methods"]),
        importance=Importance[value["importance"].upper()],
        open_to_all=value["open_to_all"],
        organisations=frozenset(map(OrganisationId, value["organisations"])),
        idempotent=value["idempotent"],
        deadline_ms=value["deadline_ms"],
        retry_budget=value["retry_budget"],
        isolated=IsolatedBehaviour(value["isolated"]),
        isolated_after_s=value["isolated_after_s"],
        calls=frozenset(map(RouteName, value["calls"])),
        host=value.get("host", ""),
        splits=tuple(TrafficSplit(**each) for each in value.get("splits", ())),
        anonymous=value.get("anonymous", False),
        target_latency_ms=value.get("target_latency_ms"),
        regions=frozenset(map(RegionId, value.get("regions", ()))),
    )


def _organisation_from_json(value: JsonObject) -> Organisation:
    shares = {FailureDomainId(name): each for name, each in value["shares"].items()}
    importance = None
    if value.get("importance") is not None:
        importance = Importance[value["importance"].upper()]
    regions = frozenset(map(RegionId, value.get("regions", ())))
    converted = {"shares": shares, "importance": importance, "regions": regions}
    return Organisation(**{**value, **converted})


def _limits_from_json(value: JsonObject) -> CallerLimits:
    return CallerLimits(**value)


def configuration_from_json(value: JsonObject) -> Configuration:
    """Build a configuration from a JSON object that matches the schema."""
    services = [_service_from_json(each) for each in value["services"]]
    routes = [_route_from_json(each) for each in value["routes"]]
    organisations = [_organisation_from_json(each) for each in value["organisations"]]
    keys = [ApiKey(**each) for each in value["keys"]]
    return Configuration(
        version=Version(value["version"]),
        services={each.name: each for each in services},
        routes=tuple(sorted(routes, key=lambda each: each.name)),
        organisations={each.name: each for each in organisations},
        keys={each.key_id: each for each in keys},
        limits=_limits_from_json(value.get("limits", {})),
        evacuated=frozenset(map(FailureDomainId, value.get("evacuated", ()))),
    )


def delta_from_json(value: JsonObject) -> Delta:
    """Build a delta from a JSON object that matches the schema."""
    given, removed = value["set"], value["removed"]
    return Delta(
        services=tuple(map(_service_from_json, given.get("services", ()))),
        routes=tuple(map(_route_from_json, given.get("routes", ()))),
        organisations=tuple(
            map(_organisation_from_json, given.get("organisations", ()))
        ),
        keys=tuple(ApiKey(**each) for each in given.get("keys", ())),
        removed_services=tuple(map(ServiceName, removed.get("services", ()))),
        removed_routes=tuple(map(RouteName, removed.get("routes", ()))),
        removed_organisations=tuple(
            map(OrganisationId, removed.get("organisations", ()))
        ),
        removed_keys=tuple(map(KeyId, removed.get("keys", ()))),
        limits=_limits_from_json(given["limits"]) if "limits" in given else None,
    )
