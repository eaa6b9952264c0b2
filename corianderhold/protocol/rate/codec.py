"""Encode and decode loan messages."""

import math

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from corianderhold.errors import CorianderholdError
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.rate.gen import ttypes
from corianderhold.protocol.rate.model import (
    LoanAsk,
    LoanGrant,
    LoanReply,
    LoanRequest,
)

FACTORY = TBinaryProtocolAcceleratedFactory()


class LoanMessageError(CorianderholdError):
    """A loan message is malformed."""


def encode_request(request: LoanRequest) -> bytes:
    """Encode a request."""
    asks = [
        ttypes.LoanAsk(
            ask.organisation,
            ask.applied,
            ask.capacity,
            ask.returned,
            ask.demand,
            ask.wanted,
            ask.single,
        )
        for ask in request.asks
    ]
    message = ttypes.LoanRequest(
        request.borrower,
        request.incarnation,
        request.number,
        request.domain,
        request.steward,
        asks,
    )
    return bytes(serialize(message, FACTORY))


def decode_request(body: bytes) -> LoanRequest:
    """Decode a request; raise LoanMessageError if it is malformed."""
    message = _deserialize(ttypes.LoanRequest(), body)
    for ask in message.asks:
        check_amounts(ask.capacity, ask.returned, ask.demand, ask.wanted)
    return LoanRequest(
        InstanceId(message.borrower),
        Incarnation(message.incarnation),
        message.number,
        FailureDomainId(message.domain),
        message.steward,
        tuple(
            LoanAsk(
                OrganisationId(ask.organisation),
                ask.applied,
                ask.capacity,
                ask.returned,
                ask.demand,
                ask.wanted,
                ask.single,
            )
            for ask in message.asks
        ),
    )


def encode_reply(reply: LoanReply) -> bytes:
    """Encode a reply."""
    grants = [
        ttypes.LoanGrant(
            grant.organisation, grant.number, grant.rate, grant.capacity, grant.tokens
        )
        for grant in reply.grants
    ]
    message = ttypes.LoanReply(reply.accepted, grants, reply.holder)
    return bytes(serialize(message, FACTORY))


def decode_reply(body: bytes) -> LoanReply:
    """Decode a reply; raise LoanMessageError if it is malformed."""
    message = _deserialize(ttypes.LoanReply(), body)
    grants = tuple(
        LoanGrant(
            OrganisationId(grant.organisation),
            grant.number,
            grant.rate,
            grant.capacity,
            grant.tokens,
        )
        for grant in message.grants
    )
    for grant in grants:
        check_amounts(grant.rate, grant.capacity, grant.tokens)
    return LoanReply(message.accepted, grants, InstanceId(message.holder))


def check_amounts(*amounts: float) -> None:
    """Raise LoanMessageError unless all amounts are finite and not negative."""
    for amount in amounts:
        if not 0 <= amount < math.inf:
            raise LoanMessageError(f"amount is {amount}; expected a finite number >= 0")


def is_request(message: ttypes.LoanRequest | ttypes.LoanReply) -> bool:
    """Return whether a message is a request."""
    return isinstance(message, ttypes.LoanRequest)


def _deserialize(message: ttypes.LoanRequest | ttypes.LoanReply, body: bytes):  # type: ignore[no-untyped-def]  # noqa: ANN202
    """Deserialize a thrift struct and validate its required fields, nested ones too."""
    try:
        deserialize(message, body, FACTORY)
        message.validate()
        for part in message.asks if is_request(message) else message.grants:
            part.validate()
    except (TException, EOFError, ValueError, TypeError, OverflowError) as error:
        raise LoanMessageError(repr(error)) from error
    return message
