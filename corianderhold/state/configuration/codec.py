"""Convert configurations and records of their stream to JSON and back."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from result import Err, Ok, Result
from voluptuous import Invalid

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
from corianderhold.state.configuration.const import RECORD_FORMAT
from corianderhold.state.configuration.model import (
    ApiKey,
    Configuration,
    Importance,
    IsolatedBehaviour,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.records import (
    ChangeRecord,
    Delta,
    RememberedChange,
    SnapshotRecord,
)
from corianderhold.state.configuration.schema import (
    CHANGE_SCHEMA,
    CONFIGURATION_SCHEMA,
    ENVELOPE_SCHEMA,
    SNAPSHOT_SCHEMA,
)

CHANGE_KIND = "change"
SNAPSHOT_KIND = "snapshot"

JsonObject = dict[str, Any]
Record = ChangeRecord | SnapshotRecord


class DecodeFailure(Enum):
    """Why a text is no record that this release understands."""

    CORRUPT = "corrupt"
    UNKNOWN_FORMAT = "unknown_format"


@dataclass(frozen=True)
class DecodeError:
    """A text that is no record, and what is wrong with it."""

    failure: DecodeFailure
    detail: str


def dump_json(value: JsonObject) -> str:
    """Return the compact JSON text of a value, the same for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)


def service_to_json(service: Service) -> JsonObject:
    """Return the JSON object of a service."""
    return {
        "name": service.name,
        "max_concurrency": service.max_concurrency,
        "queue_length": service.queue_length,
        "retry_ratio": float(service.retry_ratio),
    }


def route_to_json(route: Route) -> JsonObject:
    """Return the JSON object of a route."""
    return {
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


def organisation_to_json(organisation: Organisation) -> JsonObject:
    """Return the JSON object of an organisation."""
    return {
        "name": organisation.name,
        "rate": float(organisation.rate),
        "burst": float(organisation.burst),
        "weight": float(organisation.weight),
        "shares": {name: float(each) for name, each in organisation.shares.items()},
    }


def key_to_json(key: ApiKey) -> JsonObject:
    """Return the JSON object of a key's digest."""
    return {
        "key_id": key.key_id,
        "organisation": key.organisation,
        "digest": key.digest,
        "withdrawn": key.withdrawn,
        "expires_at": None if key.expires_at is None else float(key.expires_at),
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
    """Return the JSON object of a configuration, its entities sorted by name."""
    entities = _entities_to_json(
        sorted(configuration.services.values(), key=lambda each: each.name),
        sorted(configuration.routes, key=lambda each: each.name),
        sorted(configuration.organisations.values(), key=lambda each: each.name),
        sorted(configuration.keys.values(), key=lambda each: each.key_id),
    )
    return {"version": configuration.version, **entities}


def delta_to_json(delta: Delta) -> JsonObject:
    """Return the JSON object of a delta, without its empty parts."""
    entities = _entities_to_json(
        delta.services, delta.routes, delta.organisations, delta.keys
    )
    removed = {
        "services": list(delta.removed_services),
        "routes": list(delta.removed_routes),
        "organisations": list(delta.removed_organisations),
        "keys": list(delta.removed_keys),
    }
    return {
        "set": {kind: each for kind, each in entities.items() if each},
        "removed": {kind: each for kind, each in removed.items() if each},
    }


def encode_change(change: ChangeRecord) -> str:
    """Return the text of a change for the log."""
    body = {
        "change_id": change.change_id,
        "base_version": change.base_version,
        "author": change.author,
        "made_at": change.made_at,
        "note": change.note,
        **delta_to_json(change.delta),
    }
    return dump_json({"format": RECORD_FORMAT, "kind": CHANGE_KIND, "body": body})


def encode_snapshot(snapshot: SnapshotRecord) -> str:
    """Return the text of a snapshot for the log."""
    remembered = [
        {
            "change_id": each.change_id,
            "version": each.version,
            "author": each.author,
        }
        for each in snapshot.remembered
    ]
    body = {
        "configuration": configuration_to_json(snapshot.configuration),
        "folded_to": snapshot.folded_to,
        "digest": snapshot.digest,
        "remembered": remembered,
    }
    return dump_json({"format": RECORD_FORMAT, "kind": SNAPSHOT_KIND, "body": body})


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
    )


def _organisation_from_json(value: JsonObject) -> Organisation:
    shares = {FailureDomainId(name): each for name, each in value["shares"].items()}
    return Organisation(**{**value, "shares": shares})


def _configuration_from_json(value: JsonObject) -> Configuration:
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
    )


def _change_from_json(value: JsonObject) -> ChangeRecord:
    given, removed = value["set"], value["removed"]
    delta = Delta(
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
    )
    return ChangeRecord(
        change_id=ChangeId(value["change_id"]),
        base_version=Version(value["base_version"]),
        author=value["author"],
        made_at=value["made_at"],
        note=value["note"],
        delta=delta,
    )


def _snapshot_from_json(value: JsonObject) -> SnapshotRecord:
    return SnapshotRecord(
        configuration=_configuration_from_json(value["configuration"]),
        folded_to=Offset(value["folded_to"]),
        digest=value["digest"],
        remembered=tuple(RememberedChange(**each) for each in value["remembered"]),
    )


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")


def _load_json(text: str) -> object:
    return json.loads(text, parse_constant=_reject_constant)


def decode_configuration(text: str) -> Result[Configuration, DecodeError]:
    """Return the configuration in a JSON text, or what is wrong with the text."""
    try:
        value = CONFIGURATION_SCHEMA(_load_json(text))
    except (ValueError, RecursionError, Invalid) as error:
        return Err(DecodeError(DecodeFailure.CORRUPT, str(error)))
    return Ok(_configuration_from_json(value))


def decode_record(text: str) -> Result[Record, DecodeError]:
    """Return the record in a text of the log, or what is wrong with the text."""
    try:
        envelope = ENVELOPE_SCHEMA(_load_json(text))
        kind, body = envelope["kind"], envelope["body"]
        if envelope["format"] != RECORD_FORMAT:
            detail = f"format {envelope['format']}"
            return Err(DecodeError(DecodeFailure.UNKNOWN_FORMAT, detail))
        if kind == CHANGE_KIND:
            return Ok(_change_from_json(CHANGE_SCHEMA(body)))
        if kind == SNAPSHOT_KIND:
            return Ok(_snapshot_from_json(SNAPSHOT_SCHEMA(body)))
    except (ValueError, RecursionError, Invalid) as error:
        return Err(DecodeError(DecodeFailure.CORRUPT, str(error)))
    return Err(DecodeError(DecodeFailure.UNKNOWN_FORMAT, f"kind {kind[:40]!r}"))
