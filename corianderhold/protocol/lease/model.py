"""Model the messages between a lease holder and its successors."""

from dataclasses import dataclass

from corianderhold.state.lease.model import ShardId


@dataclass(frozen=True)
class PromiseAsk:
    """A request for a promise: a shard and the term in which the sender holds it."""

    shard: ShardId
    term: int


@dataclass(frozen=True)
class PromiseRequest:
    """All promises that a holder requests of one successor."""

    asks: tuple[PromiseAsk, ...]


@dataclass(frozen=True)
class PromiseReply:
    """The shards that the successor promises not to take over."""

    promised: tuple[ShardId, ...]
