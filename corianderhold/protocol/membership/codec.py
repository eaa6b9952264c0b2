"""Encode and decode datagrams, members and synchronisation messages."""

import struct
from ipaddress import ip_address
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
)
from corianderhold.protocol.membership.gen import ttypes
from corianderhold.protocol.membership.model import (
    Datagram,
    DatagramKind,
    DepartureReply,
    DepartureRequest,
    MalformedMessageError,
    MemberClaim,
    SyncRecord,
    SyncReply,
    SyncRequest,
)
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import Departure

MILLISECONDS = 1000
FACTORY = TCompactProtocolAcceleratedFactory()
DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
    struct.error,
)

MEMBER_STATES = {
    MemberState.ALIVE: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}
TARGET_STATES = {
    TargetState.ABSENT: 1,
    TargetState.SERVING: 2,
    TargetState.DRAINING: 3,
}
MEMBER_STATES_BY_CODE = {code: state for state, code in MEMBER_STATES.items()}
TARGET_STATES_BY_CODE = {code: state for state, code in TARGET_STATES.items()}

MessageT = TypeVar("MessageT")


def encode_member(member: Member) -> bytes:
    """Encode an announcement; raise ValueError if a host is not an IP address."""
    peer_host = ip_address(member.peer_address.host).packed
    gossip_host = ip_address(member.gossip_address.host).packed
    record = ttypes.MemberRecord(
        instance=member.instance,
        incarnation=member.incarnation,
        sequence=member.sequence,
        domain=member.domain,
        region=member.region,
        peer_host=peer_host,
        peer_port=member.peer_address.port,
        gossip_host=None if gossip_host == peer_host else gossip_host,
        gossip_port=member.gossip_address.port,
        service_name=member.service,
        target_state=TARGET_STATES[member.target_state],
        state=MEMBER_STATES[member.state],
    )
    return _serialize(record)


def decode_member(data: bytes) -> Member:
    """Decode an announcement; raise MalformedMessageError if it is malformed."""
    record = _deserialize(ttypes.MemberRecord(), data)
    try:
        return _build_member(record)
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedMessageError(f"invalid member: {error}") from error


def encode_claim(member: Member) -> bytes:
    """Encode the state of an announcement without the content."""
    return _serialize(
        ttypes.MemberClaim(
            member.instance,
            member.incarnation,
            member.sequence,
            MEMBER_STATES[member.state],
        )
    )


def decode_claim(data: bytes) -> MemberClaim:
    """Decode a claim; raise MalformedMessageError if it is malformed."""
    claim = _deserialize(ttypes.MemberClaim(), data)
    state = MEMBER_STATES_BY_CODE.get(claim.state)
    if state is None:
        raise MalformedMessageError(f"unknown member state in a claim: {claim.state}")
    return MemberClaim(
        InstanceId(claim.instance),
        Incarnation(claim.incarnation),
        claim.sequence,
        state,
    )


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram without its authentication."""
    address = datagram.subject_address
    return _serialize(
        ttypes.Datagram(
            kind=datagram.kind.value,
            number=datagram.number,
            sender=datagram.sender,
            subject=datagram.subject,
            subject_host=ip_address(address.host).packed if address else None,
            subject_port=address.port if address else None,
            updates=list(datagram.updates),
            claims=list(datagram.claims),
        )
    )


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raise MalformedMessageError if it is malformed."""
    message = _deserialize(ttypes.Datagram(), data)
    try:
        address = None
        if message.subject_host is not None and message.subject_port is not None:
            address = _build_address(message.subject_host, message.subject_port)
        subject = None if message.subject is None else InstanceId(message.subject)
        return Datagram(
            DatagramKind(message.kind),
            message.number,
            InstanceId(message.sender),
            subject,
            address,
            tuple(message.updates),
            tuple(message.claims),
        )
    except (ValueError, TypeError) as error:
        raise MalformedMessageError(f"invalid datagram: {error}") from error


def encode_request(request: SyncRequest) -> bytes:
    """Encode a synchronisation request."""
    pushed = [_build_sync_record(record) for record in request.pushed]
    message = ttypes.SyncRequest(list(request.digests), request.after, pushed)
    return _serialize(message)


def decode_request(data: bytes) -> SyncRequest:
    """Decode a request; raise MalformedMessageError if it is malformed."""
    message = _deserialize(ttypes.SyncRequest(), data)
    pushed = tuple(_parse_sync_record(record) for record in message.pushed)
    return SyncRequest(tuple(message.digests), message.after, pushed)


def encode_reply(reply: SyncReply) -> bytes:
    """Encode a synchronisation reply."""
    records = [_build_sync_record(record) for record in reply.records]
    return _serialize(ttypes.SyncReply(list(reply.buckets), records, reply.last))


def decode_reply(data: bytes) -> SyncReply:
    """Decode a reply; raise MalformedMessageError if it is malformed."""
    message = _deserialize(ttypes.SyncReply(), data)
    records = tuple(_parse_sync_record(record) for record in message.records)
    return SyncReply(tuple(message.buckets), records, message.last)


def encode_departure_request(request: DepartureRequest) -> bytes:
    """Encode a request to keep departures."""
    records = [_build_departure_record(each) for each in request.departures]
    return _serialize(ttypes.DepartureRequest(records))


def decode_departure_request(data: bytes) -> DepartureRequest:
    """Decode a request; raise MalformedMessageError if it is malformed."""
    message = _deserialize(ttypes.DepartureRequest(), data)
    return DepartureRequest(tuple(map(_parse_departure, message.departures)))


def encode_departure_reply(reply: DepartureReply) -> bytes:
    """Encode the reply to a request to keep departures."""
    records = [_build_departure_record(each) for each in reply.departures]
    uptime_ms = int(reply.uptime_s * MILLISECONDS)
    return _serialize(ttypes.DepartureReply(records, uptime_ms))


def decode_departure_reply(data: bytes) -> DepartureReply:
    """Decode a reply; raise MalformedMessageError if it is malformed."""
    message = _deserialize(ttypes.DepartureReply(), data)
    departures = tuple(map(_parse_departure, message.departures))
    return DepartureReply(departures, message.uptime_ms / MILLISECONDS)


def _serialize(message: Any) -> bytes:  # noqa: ANN401
    return bytes(serialize(message, FACTORY))


def _deserialize(message: MessageT, data: bytes) -> MessageT:
    try:
        deserialize(message, data, FACTORY)
        message.validate()  # type: ignore[attr-defined]
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"{type(message).__name__}: {error}") from error
    return message


def _build_address(host: bytes, port: int) -> Address:
    if not 0 < port < 65536:
        raise ValueError(f"port must be from 1 to 65535, got {port}")
    return Address(str(ip_address(host)), port)


def _build_member(record: ttypes.MemberRecord) -> Member:
    gossip_host = record.gossip_host or record.peer_host
    service = record.service_name
    return Member(
        InstanceId(record.instance),
        Incarnation(record.incarnation),
        record.sequence,
        FailureDomainId(record.domain),
        RegionId(record.region),
        _build_address(record.peer_host, record.peer_port),
        _build_address(gossip_host, record.gossip_port),
        None if service is None else ServiceName(service),
        TARGET_STATES_BY_CODE[record.target_state],
        MEMBER_STATES_BY_CODE[record.state],
    )


def _build_sync_record(record: SyncRecord) -> ttypes.SyncRecord:
    return ttypes.SyncRecord(encode_member(record.member), record.dead_for_s)


def _parse_sync_record(record: ttypes.SyncRecord) -> SyncRecord:
    try:
        record.validate()
    except TException as error:
        raise MalformedMessageError(f"sync record: {error}") from error
    return SyncRecord(decode_member(record.member), record.dead_for_s)


def _build_departure_record(departure: Departure) -> ttypes.DepartureRecord:
    return ttypes.DepartureRecord(
        departure.target_id, departure.started, departure.withdrawn
    )


def _parse_departure(record: ttypes.DepartureRecord) -> Departure:
    try:
        record.validate()
    except TException as error:
        raise MalformedMessageError(f"departure: {error}") from error
    return Departure(record.target_id, record.started, bool(record.withdrawn))
