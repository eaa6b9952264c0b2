"""Compare stream heads with a peer and send each other the missing records."""

import math
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.const import (
    EXCHANGE_ROUNDS_MAX,
    EXCHANGE_TIMEOUT_S,
    PEER_HEADS_MAX,
    PUSH_BYTES_MAX,
    RECORDS_BYTES_MAX,
    SNAPSHOT_BYTES_MAX,
)
from corianderhold.coordination.configuration.replica import Replica, decode_snapshot
from corianderhold.coordination.configuration.snapshot_cache import (
    SnapshotCache,
    decompress_snapshot,
)
from corianderhold.coordination.configuration.snapshots import SnapshotWriter
from corianderhold.ids import InstanceId, Offset, StoreEra
from corianderhold.log import log_warning
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.codec import (
    decode_exchange,
    decode_reply,
    encode_exchange,
    encode_reply,
)
from corianderhold.protocol.configuration.const import NEWEST_SNAPSHOT
from corianderhold.protocol.configuration.errors import ExchangeError
from corianderhold.protocol.configuration.messages import (
    Exchange,
    ExchangeReply,
    Head,
    SnapshotPart,
    SnapshotQuery,
)
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.store.model import LogRecord
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import Member


@dataclass(frozen=True)
class PeerHead:
    """Last head received from a peer, with the monotonic time in seconds."""

    instance: InstanceId
    head: Head
    received_at: float


class Exchanger:
    """
    Start exchanges with peers and respond to theirs.

    `on_peer_ahead` is called with each peer that is ahead of this daemon. All methods
    are thread-safe.
    """

    def __init__(
        self,
        replica: Replica,
        snapshot_writer: SnapshotWriter,
        holder: ConfigurationHolder,
        client: ControlClient,
        clock: Clock,
        metrics: Metrics,
        on_peer_ahead: Callable[[InstanceId], None],
    ) -> None:
        self._replica = replica
        self._snapshot_writer = snapshot_writer
        self._holder = holder
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._on_peer_ahead = on_peer_ahead
        self._snapshot_cache = SnapshotCache(replica)
        self._peer_heads_lock = threading.Lock()
        self._fetch_lock = threading.Lock()
        self._peer_heads: OrderedDict[InstanceId, PeerHead] = OrderedDict()

    def list_peer_heads(self) -> tuple[PeerHead, ...]:
        """Return the last heads received from peers, the newest last."""
        with self._peer_heads_lock:
            return tuple(self._peer_heads.values())

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Respond to a peer's exchange; raise ExchangeError if it is malformed."""
        exchange = decode_exchange(body)
        self._record_peer_head(sender.instance, exchange.head)
        if exchange.snapshot is not None:
            part = self._snapshot_cache.read_part(exchange.snapshot)
            return encode_reply(ExchangeReply(self._replica.head, part=part))
        self._replica.apply_records(exchange.records, exchange.head.era)
        if exchange.head.is_ahead_of(self._replica.head):
            self._on_peer_ahead(sender.instance)
        return encode_reply(self._build_reply(exchange.head))

    def exchange(self, member: Member, push: bool = False) -> bool:
        """
        Bring both daemons to the newer state; return whether the peer responded.

        `push` includes the last record in the request if it is short.
        """
        records = self._read_last_record() if push else ()
        for _ in range(EXCHANGE_ROUNDS_MAX):
            sent_at = self._clock.read_monotonic()
            reply = self._request(member, Exchange(self._replica.head, records))
            if reply is None:
                return False
            advanced = self._apply_reply(member, reply)
            mine = self._replica.head
            if reply.head.is_ahead_of(mine):
                if not advanced:
                    return True
                records = ()
                continue
            self._adopt_verification(member, sent_at, reply)
            if not mine.is_ahead_of(reply.head) or mine.era != reply.head.era:
                return True
            records = self._slice_tail(reply.head.next_offset)
            if not records:
                return True
        return True

    def _read_last_record(self) -> tuple[LogRecord, ...]:
        """Return the last record if it is short enough to be pushed."""
        last = Offset(self._replica.head.next_offset - 1)
        records = self._replica.slice_tail(last, PUSH_BYTES_MAX)
        size = sum(len(record.data) for record in records)
        return records if size <= PUSH_BYTES_MAX else ()

    def _slice_tail(self, from_offset: Offset) -> tuple[LogRecord, ...]:
        """Return records that a peer lacks; it fetches long snapshots compressed."""
        return self._replica.slice_tail(
            from_offset, RECORDS_BYTES_MAX, include_long_snapshot=False
        )

    def _build_reply(self, theirs: Head) -> ExchangeReply:
        # Read the age before the head, so that a recent verification is never sent
        # together with an older head.
        age_ms = self._read_verified_age_ms()
        mine = self._replica.head
        records: tuple[LogRecord, ...] = ()
        if mine.is_ahead_of(theirs) and mine.era == theirs.era:
            records = self._slice_tail(theirs.next_offset)
        return ExchangeReply(
            mine,
            age_ms,
            records,
            mark=self._snapshot_writer.read_mark(),
            snapshot_needed=needs_snapshot(mine, theirs) and not records,
        )

    def _record_peer_head(self, instance: InstanceId, head: Head) -> None:
        peer_head = PeerHead(instance, head, self._clock.read_monotonic())
        with self._peer_heads_lock:
            self._peer_heads[instance] = peer_head
            self._peer_heads.move_to_end(instance)
            if len(self._peer_heads) > PEER_HEADS_MAX:
                self._peer_heads.popitem(last=False)

    def _apply_reply(self, member: Member, reply: ExchangeReply) -> bool:
        """Apply the peer's reply; return whether the local state advanced."""
        self._record_peer_head(member.instance, reply.head)
        if self._replica.adopt_position(reply.head):
            self._snapshot_writer.begin_era()
            return True
        if reply.mark is not None and reply.head.era == self._replica.head.era:
            self._snapshot_writer.merge_mark(reply.mark)
        if reply.snapshot_needed:
            with self._fetch_lock:
                if not reply.head.is_ahead_of(self._replica.head):
                    return True  # another thread has fetched it
                return self._fetch_snapshot(member)
        return self._replica.apply_records(reply.records, reply.head.era)

    def _adopt_verification(
        self, member: Member, sent_at: float, reply: ExchangeReply
    ) -> None:
        """
        Adopt the time at which the peer verified that its view is complete.

        It counts from when the request was sent, so the view never appears newer than
        it is.
        """
        mine = self._replica.head
        if mine.era != reply.head.era:
            return
        if mine.next_offset == reply.head.next_offset and mine != reply.head:
            self._metrics.increment("configuration_diverged")
            log_warning(
                "configuration_diverged",
                peer=member.instance,
                version=mine.version,
                peer_version=reply.head.version,
            )
            return
        if reply.verified_age_ms is not None:
            self._holder.mark_verified(sent_at - reply.verified_age_ms / 1000)

    def _read_verified_age_ms(self) -> int | None:
        age_s = self._clock.read_monotonic() - self._holder.verified_at
        return None if math.isinf(age_s) else max(0, math.ceil(age_s * 1000))

    def _fetch_snapshot(self, member: Member) -> bool:
        """Fetch the peer's newest snapshot in parts and install it."""
        part = self._request_part(member, SnapshotQuery(Offset(NEWEST_SNAPSHOT), 0))
        data = b""
        while part is not None and part.from_byte == len(data):
            data += part.data
            if len(data) >= part.total_bytes or not part.data:
                return self._install_compressed(data, part.era)
            if part.total_bytes > SNAPSHOT_BYTES_MAX:
                return False
            part = self._request_part(member, SnapshotQuery(part.folded_to, len(data)))
        return False

    def _install_compressed(self, data: bytes, era: StoreEra) -> bool:
        text = decompress_snapshot(data)
        snapshot = None if isinstance(text, Err) else decode_snapshot(text.ok_value)
        if snapshot is None:
            log_warning("snapshot_corrupt", bytes=len(data))
            return False
        self._metrics.increment("configuration_snapshots_from_peers")
        return self._replica.install_snapshot(snapshot, era)

    def _request_part(
        self, member: Member, query: SnapshotQuery
    ) -> SnapshotPart | None:
        reply = self._request(member, Exchange(self._replica.head, snapshot=query))
        return None if reply is None else reply.part

    def _request(self, member: Member, exchange: Exchange) -> ExchangeReply | None:
        body = encode_exchange(exchange)
        answer = self._client.request(
            member.peer_address, ControlTopic.CONFIGURATION, body, EXCHANGE_TIMEOUT_S
        )
        self._metrics.increment("configuration_exchanges")
        self._metrics.increment("configuration_bytes_sent", len(body))
        if isinstance(answer, Err):
            self._metrics.increment(f"configuration_exchange_{answer.err_value.value}")
            return None
        self._metrics.increment("configuration_bytes_received", len(answer.ok_value))
        try:
            return decode_reply(answer.ok_value)
        except ExchangeError as error:
            log_warning("exchange_malformed", peer=member.instance, error=str(error))
            return None


def needs_snapshot(mine: Head, theirs: Head) -> bool:
    """Return whether a peer may lack state that the kept records do not cover."""
    return mine.is_ahead_of(theirs) and mine.digest != theirs.digest
