"""Encode and decode lease records for the log."""

import json
from typing import Any

from result import Err, Ok, Result
from voluptuous import All, Coerce, Invalid, Length, Range, Required, Schema

from corianderhold.ids import Incarnation, InstanceId
from corianderhold.nesting import load_json
from corianderhold.state.lease.model import (
    LeaseHolder,
    LeaseRecord,
    LeaseRecordId,
    RecordKind,
    ShardId,
)

NAME = All(str, Length(min=1, max=200))
HOLDER_SCHEMA = Schema({Required("instance"): NAME, Required("incarnation"): int})
RECORD_SCHEMA = Schema(
    {
        Required("shard"): NAME,
        Required("id"): NAME,
        Required("number"): All(int, Range(min=1)),
        Required("builds_on"): All(str, Length(max=200)),
        Required("kind"): Coerce(RecordKind),
        Required("writer"): HOLDER_SCHEMA,
        Required("holder"): HOLDER_SCHEMA,
        Required("successors"): [NAME],
    }
)


def encode_record(record: LeaseRecord) -> str:
    """Encode a record as JSON."""
    fields = {
        "shard": record.shard,
        "id": record.record_id,
        "number": record.number,
        "builds_on": record.builds_on,
        "kind": record.kind.value,
        "writer": _encode_holder(record.writer),
        "holder": _encode_holder(record.holder),
        "successors": sorted(record.successors),
    }
    return json.dumps(fields, separators=(",", ":"))


def decode_record(text: str) -> Result[LeaseRecord, str]:
    """Decode a record, or return why the text is invalid."""
    try:
        fields = RECORD_SCHEMA(load_json(text))
    except (ValueError, Invalid, RecursionError) as error:
        return Err(str(error))
    return Ok(
        LeaseRecord(
            shard=ShardId(fields["shard"]),
            record_id=LeaseRecordId(fields["id"]),
            number=fields["number"],
            builds_on=LeaseRecordId(fields["builds_on"]),
            kind=fields["kind"],
            writer=_decode_holder(fields["writer"]),
            holder=_decode_holder(fields["holder"]),
            successors=frozenset(InstanceId(name) for name in fields["successors"]),
        )
    )


def _encode_holder(holder: LeaseHolder) -> dict[str, str | int]:
    """Return the JSON fields of a holder."""
    return {"instance": holder.instance, "incarnation": holder.incarnation}


def _decode_holder(fields: dict[str, Any]) -> LeaseHolder:
    """Build a holder from validated JSON fields."""
    return LeaseHolder(
        InstanceId(fields["instance"]), Incarnation(fields["incarnation"])
    )
