"""Encode and decode the messages of the topic "configuration"."""

from collections.abc import Callable
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from corianderhold.ids import FIRST_ERA, Offset, StoreEra, Version
from corianderhold.protocol.configuration.errors import ExchangeError
from corianderhold.protocol.configuration.gen import ttypes
from corianderhold.protocol.configuration.messages import (
    Exchange,
    ExchangeReply,
    Head,
    SnapshotMark,
    SnapshotPart,
    SnapshotQuery,
)
from corianderhold.protocol.store.model import LogRecord

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()

T = TypeVar("T")


def encode_exchange(exchange: Exchange) -> bytes:
    """Encode an exchange as the body of a control request."""
    struct = ttypes.Exchange(
        head=_encode_head(exchange.head),
        records=_encode_records(exchange.records),
        snapshot=_encode_query(exchange.snapshot),
    )
    return _serialize(struct)


def decode_exchange(body: bytes) -> Exchange:
    """Decode the body of a control request; raise ExchangeError if it is malformed."""
    struct = _deserialize(ttypes.Exchange(), body)
    return Exchange(
        _decode_head(struct.head),
        _decode_records(struct.records),
        _decode_optional(struct.snapshot, _decode_query),
    )


def encode_reply(reply: ExchangeReply) -> bytes:
    """Encode a reply as the body of a control reply."""
    struct = ttypes.ExchangeReply(
        head=_encode_head(reply.head),
        verified_age_ms=reply.verified_age_ms,
        records=_encode_records(reply.records),
        part=_encode_part(reply.part),
        mark=_encode_mark(reply.mark),
        snapshot_needed=reply.snapshot_needed or None,
    )
    return _serialize(struct)


def decode_reply(body: bytes) -> ExchangeReply:
    """Decode the body of a control reply; raise ExchangeError if it is malformed."""
    struct = _deserialize(ttypes.ExchangeReply(), body)
    if struct.verified_age_ms is not None and struct.verified_age_ms < 0:
        raise ExchangeError("verified_age_ms is negative")
    return ExchangeReply(
        _decode_head(struct.head),
        struct.verified_age_ms,
        _decode_records(struct.records),
        _decode_optional(struct.part, _decode_part),
        _decode_optional(struct.mark, _decode_mark),
        bool(struct.snapshot_needed),
    )


def _serialize(struct: Any) -> bytes:  # noqa: ANN401
    encoded: bytes = serialize(struct, PROTOCOL_FACTORY)
    return encoded


def _deserialize(struct: Any, body: bytes) -> Any:  # noqa: ANN401
    try:
        deserialize(struct, body, PROTOCOL_FACTORY)
        struct.validate()
        _validate_nested(struct)
    except Exception as error:
        # On malformed bytes, thrift raises a variety of errors (EOFError, TypeError).
        raise ExchangeError(f"malformed configuration message: {error!r}") from error
    return struct


def _validate_nested(struct: Any) -> None:  # noqa: ANN401
    """Raise an error if a nested struct lacks a required field."""
    for name in ("head", "snapshot", "part", "mark"):
        part = getattr(struct, name, None)
        if part is not None:
            part.validate()
    for record in struct.records or ():
        record.validate()


def _decode_optional(struct: Any, decode: Callable[[Any], T]) -> T | None:  # noqa: ANN401
    return None if struct is None else decode(struct)


def _encode_head(head: Head) -> Any:  # noqa: ANN401
    era = _encode_era(head.era)
    return ttypes.Head(head.next_offset, head.version, head.digest, era)


def _decode_head(struct: Any) -> Head:  # noqa: ANN401
    return Head(
        Offset(struct.next_offset),
        Version(struct.version),
        struct.digest,
        _decode_era(struct.era),
    )


def _encode_era(era: StoreEra) -> int | None:
    return None if era == FIRST_ERA else era


def _decode_era(value: int | None) -> StoreEra:
    """Return the era; builds that do not state it know only the first one."""
    return FIRST_ERA if value is None else StoreEra(value)


def _encode_records(records: tuple[LogRecord, ...]) -> Any:  # noqa: ANN401
    return [ttypes.Record(each.offset, each.data) for each in records] or None


def _decode_records(structs: Any) -> tuple[LogRecord, ...]:  # noqa: ANN401
    return tuple(LogRecord(Offset(each.offset), each.data) for each in structs or ())


def _encode_query(query: SnapshotQuery | None) -> Any:  # noqa: ANN401
    return query and ttypes.SnapshotQuery(query.folded_to, query.from_byte)


def _decode_query(struct: Any) -> SnapshotQuery:  # noqa: ANN401
    return SnapshotQuery(Offset(struct.folded_to), struct.from_byte)


def _encode_part(part: SnapshotPart | None) -> Any:  # noqa: ANN401
    return part and ttypes.SnapshotPart(
        part.folded_to,
        part.from_byte,
        part.total_bytes,
        part.data,
        _encode_era(part.era),
    )


def _decode_part(struct: Any) -> SnapshotPart:  # noqa: ANN401
    return SnapshotPart(
        Offset(struct.folded_to),
        struct.from_byte,
        struct.total_bytes,
        struct.data,
        _decode_era(struct.era),
    )


def _encode_mark(mark: SnapshotMark | None) -> Any:  # noqa: ANN401
    return mark and ttypes.SnapshotMark(mark.folded_to, mark.age_s)


def _decode_mark(struct: Any) -> SnapshotMark:  # noqa: ANN401
    return SnapshotMark(Offset(struct.folded_to), struct.age_s)
