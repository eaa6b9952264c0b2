"""Encode and decode promise messages."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from corianderhold.errors import CorianderholdError
from corianderhold.protocol.lease.gen import ttypes
from corianderhold.protocol.lease.model import PromiseAsk, PromiseReply, PromiseRequest
from corianderhold.state.lease.model import ShardId

FACTORY = TBinaryProtocolAcceleratedFactory()


class PromiseMessageError(CorianderholdError):
    """A promise message is malformed."""


def encode_request(request: PromiseRequest) -> bytes:
    """Encode a request."""
    asks = [ttypes.PromiseAsk(ask.shard, ask.term) for ask in request.asks]
    return bytes(serialize(ttypes.PromiseRequest(asks), FACTORY))


def decode_request(body: bytes) -> PromiseRequest:
    """Decode a request; raise PromiseMessageError if it is malformed."""
    message = _deserialize(ttypes.PromiseRequest(), body)
    asks = (PromiseAsk(ShardId(ask.shard), ask.term) for ask in message.asks)
    return PromiseRequest(tuple(asks))


def encode_reply(reply: PromiseReply) -> bytes:
    """Encode a reply."""
    return bytes(serialize(ttypes.PromiseReply(list(reply.promised)), FACTORY))


def decode_reply(body: bytes) -> PromiseReply:
    """Decode a reply; raise PromiseMessageError if it is malformed."""
    message = _deserialize(ttypes.PromiseReply(), body)
    return PromiseReply(tuple(ShardId(shard) for shard in message.promised))


def _deserialize(message: ttypes.PromiseRequest | ttypes.PromiseReply, body: bytes):  # type: ignore[no-untyped-def]  # noqa: ANN202
    """Deserialize a thrift struct and validate its required fields, nested ones too."""
    try:
        deserialize(message, body, FACTORY)
        message.validate()
        if isinstance(message, ttypes.PromiseRequest):
            for ask in message.asks:
                ask.validate()
    except (TException, EOFError, ValueError, TypeError, OverflowError) as error:
        raise PromiseMessageError(repr(error)) from error
    return message
