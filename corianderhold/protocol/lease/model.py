"""Model the messages between a holder and its successors."""

from dataclasses import dataclass

from corianderhold.state.lease.model import ShardId


@dataclass(frozen=True)
class PromiseAsk:
    """A shard and the term that the asker holds it in."""

    shard: ShardId
    term: int


@dataclass(frozen=True)
class PromiseRequest:
    """All asks of one holder to one successor."""

    asks: tuple[PromiseAsk, ...]


@dataclass(frozen=True)
class PromiseReply:
    """The shards that the successor promises not to take over."""

    promised: tuple[ShardId, ...]
