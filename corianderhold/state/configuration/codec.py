"""Encode and decode configurations and the records of their stream."""

from dataclasses import dataclass, replace
from enum import Enum
from zlib import crc32

from result import Err, Ok, Result
from voluptuous import Invalid

from corianderhold.ids import ChangeId, Offset, ServiceName, Version
from corianderhold.nesting import load_json
from corianderhold.state.configuration.const import (
    MAX_LISTED_FAULTS,
    RECORD_FORMAT,
)
from corianderhold.state.configuration.entities import (
    JsonObject,
    configuration_from_json,
    configuration_to_json,
    delta_from_json,
    delta_to_json,
    dump_json,
    fault_to_json,
)
from corianderhold.state.configuration.faults import EntityKind, ValidationFault
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.paths import is_health_path
from corianderhold.state.configuration.records import (
    ChangeRecord,
    Draft,
    EvacuationRecord,
    RecentChange,
    SnapshotRecord,
)
from corianderhold.state.configuration.schema import (
    CHANGE_SCHEMA,
    CONFIGURATION_SCHEMA,
    DRAFT_SCHEMA,
    ENVELOPE_SCHEMA,
    EVACUATION_SCHEMA,
    SNAPSHOT_SCHEMA,
)

CHANGE_KIND = "change"
SNAPSHOT_KIND = "snapshot"
EVACUATION_KIND = "evacuation"
HEALTH_PATHS = "health_paths"  # of the envelope
FAULTS = "faults"  # of the envelope

MAX_DETAIL_LENGTH = 200
ENTITY_KINDS: dict[object, EntityKind] = {each.value: each for each in EntityKind}
FAULT_TEXTS = ("name", "option", "given", "accepted")
DECODE_ERRORS = (ValueError, RecursionError, Invalid)

Record = ChangeRecord | SnapshotRecord | EvacuationRecord


class DecodeFailure(Enum):
    """Why a text could not be decoded as a record."""

    CORRUPT = "corrupt"
    UNKNOWN_FORMAT = "unknown_format"


@dataclass(frozen=True)
class DecodeError:
    """The reason and the detail of a failed decoding."""

    failure: DecodeFailure
    detail: str


def _add_checksum(kind: str, body: JsonObject, **extra: object) -> str:
    """
    Return the text of a record: its CRC-32 in hex, a space and its JSON.

    Releases that do not know a field of `extra` ignore it.
    """
    text = dump_json({"format": RECORD_FORMAT, "kind": kind, "body": body, **extra})
    return f"{crc32(text.encode()):08x} {text}"


def _verify_checksum(text: str) -> str:
    """Return the JSON text of a record; raise ValueError on a checksum mismatch."""
    checksum, _, json_text = text.partition(" ")
    if checksum != f"{crc32(json_text.encode()):08x}":
        raise ValueError("CRC-32 checksum of the record does not match its content")
    return json_text


def encode_change(change: ChangeRecord) -> str:
    """Encode a change as a record of the log."""
    body = {
        "change_id": change.change_id,
        "base_version": change.base_version,
        "author": change.author,
        "made_at": change.made_at,
        "note": change.note,
        **delta_to_json(change.delta),
    }
    return _add_checksum(CHANGE_KIND, body)


def encode_snapshot(snapshot: SnapshotRecord) -> str:
    """Encode a snapshot as a record of the log."""
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
    if snapshot.keeps_evacuations:
        body["keeps_evacuations"] = True
    extra: dict[str, object] = {}
    if snapshot.configuration.health_paths:
        extra[HEALTH_PATHS] = dict(snapshot.configuration.health_paths)
    if snapshot.configuration.faults:
        listed = snapshot.configuration.faults[:MAX_LISTED_FAULTS]
        extra[FAULTS] = [fault_to_json(each) for each in listed]
    return _add_checksum(SNAPSHOT_KIND, body, **extra)


def encode_evacuation(evacuation: EvacuationRecord) -> str:
    """Encode the start or end of an evacuation as a record of the log."""
    body = {"domain": evacuation.domain, "active": evacuation.active}
    return _add_checksum(EVACUATION_KIND, body)


def encode_draft(draft: Draft) -> str:
    """Encode a draft as JSON."""
    return dump_json({"base_version": draft.base_version, **delta_to_json(draft.delta)})


def _change_from_json(value: JsonObject) -> ChangeRecord:
    return ChangeRecord(
        change_id=ChangeId(value["change_id"]),
        base_version=Version(value["base_version"]),
        author=value["author"],
        made_at=value["made_at"],
        note=value["note"],
        delta=delta_from_json(value),
    )


def _snapshot_from_json(value: JsonObject, envelope: JsonObject) -> SnapshotRecord:
    configuration = replace(
        configuration_from_json(value["configuration"]),
        health_paths=_health_paths_from_json(envelope.get(HEALTH_PATHS)),
        faults=_faults_from_json(envelope.get(FAULTS)),
    )
    return SnapshotRecord(
        configuration=configuration,
        folded_to=Offset(value["folded_to"]),
        digest=value["digest"],
        remembered=tuple(RecentChange(**each) for each in value["remembered"]),
        keeps_evacuations=value.get("keeps_evacuations", False),
    )


def _health_paths_from_json(value: object) -> dict[ServiceName, str]:
    """Return the valid entries; health checks are optional."""
    if not isinstance(value, dict):
        return {}
    return {
        ServiceName(name): path for name, path in value.items() if is_health_path(path)
    }


def _faults_from_json(value: object) -> tuple[ValidationFault, ...]:
    """Return the valid entries; they only inform operators."""
    if not isinstance(value, list):
        return ()
    faults = [_fault_from_json(each) for each in value[:MAX_LISTED_FAULTS]]
    return tuple(each for each in faults if each is not None)


def _fault_from_json(value: object) -> ValidationFault | None:
    if not isinstance(value, dict) or value.get("kind") not in ENTITY_KINDS:
        return None
    texts = [value.get(name) for name in FAULT_TEXTS]
    if not all(isinstance(each, str) for each in texts):
        return None
    return ValidationFault(ENTITY_KINDS[value["kind"]], *map(str, texts))


def _reject_constant(name: str) -> None:
    raise ValueError(f"number is not finite: {name}")


def _load_json(text: str) -> object:
    return load_json(text, parse_constant=_reject_constant)


def decode_configuration(text: str) -> Result[Configuration, DecodeError]:
    """Decode a configuration from JSON, or return why it is invalid."""
    try:
        value = CONFIGURATION_SCHEMA(_load_json(text))
    except DECODE_ERRORS as error:
        return Err(DecodeError(DecodeFailure.CORRUPT, str(error)[:MAX_DETAIL_LENGTH]))
    return Ok(configuration_from_json(value))


def decode_draft(text: str) -> Result[Draft, DecodeError]:
    """Decode a draft from JSON, or return why it is invalid."""
    try:
        value = DRAFT_SCHEMA(_load_json(text))
    except DECODE_ERRORS as error:
        return Err(DecodeError(DecodeFailure.CORRUPT, str(error)[:MAX_DETAIL_LENGTH]))
    return Ok(Draft(Version(value["base_version"]), delta_from_json(value)))


def decode_record(text: str) -> Result[Record, DecodeError]:
    """Decode a record of the log, or return why it is invalid."""
    try:
        envelope = ENVELOPE_SCHEMA(_load_json(_verify_checksum(text)))
        kind, body = envelope["kind"], envelope["body"]
        if envelope["format"] != RECORD_FORMAT:
            detail = f"format {envelope['format']}"
            return Err(DecodeError(DecodeFailure.UNKNOWN_FORMAT, detail))
        if kind == CHANGE_KIND:
            return Ok(_change_from_json(CHANGE_SCHEMA(body)))
        if kind == SNAPSHOT_KIND:
            return Ok(_snapshot_from_json(SNAPSHOT_SCHEMA(body), envelope))
        if kind == EVACUATION_KIND:
            value = EVACUATION_SCHEMA(body)
            return Ok(EvacuationRecord(value["domain"], value["active"]))
    except DECODE_ERRORS as error:
        return Err(DecodeError(DecodeFailure.CORRUPT, str(error)[:MAX_DETAIL_LENGTH]))
    return Err(DecodeError(DecodeFailure.UNKNOWN_FORMAT, f"kind {kind[:40]!r}"))
