"""Map promise messages to thrift and back."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from corianderhold.errors import CorianderholdError
from corianderhold.protocol.lease.gen import ttypes
from corianderhold.protocol.lease.model import PromiseAsk, PromiseReply, PromiseRequest
from corianderhold.state.lease.model import ShardId

FACTORY = TBinaryProtocolAcceleratedFactory()


class PromiseMessageError(CorianderholdError):
    """A promise message could not be read."""


def encode_request(request: PromiseRequest) -> bytes:
    """Return the bytes of a request."""
    asks = [ttypes.PromiseAsk(ask.shard, ask.term) for ask in request.asks]
    return bytes(serialize(ttypes.PromiseRequest(asks), FACTORY))


def decode_request(body: bytes) -> PromiseRequest:
    """Read a request; raise PromiseMessageError for other bytes."""
    message = _read(ttypes.PromiseRequest(), body)
    asks = (PromiseAsk(ShardId(ask.shard), ask.term) for ask in message.asks)
    return PromiseRequest(tuple(asks))


def encode_reply(reply: PromiseReply) -> bytes:
    """Return the bytes of a reply."""
    return bytes(serialize(ttypes.PromiseReply(list(reply.promised)), FACTORY))


def decode_reply(body: bytes) -> PromiseReply:
    """Read a reply; raise PromiseMessageError for other bytes."""
    message = _read(ttypes.PromiseReply(), body)
    return PromiseReply(tuple(ShardId(shard) for shard in message.promised))


def _read(message: ttypes.PromiseRequest | ttypes.PromiseReply, body: bytes):  # type: ignore[no-untyped-def]  # noqa: ANN202
    """Fill a thrift struct and check its required fields."""
    try:
        deserialize(message, body, FACTORY)
        message.validate()
    except (TException, EOFError, ValueError, TypeError, OverflowError) as error:
        raise PromiseMessageError(repr(error)) from error
    return message
