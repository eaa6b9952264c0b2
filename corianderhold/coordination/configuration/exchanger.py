"""Compare versions with one peer and send each other what is missing."""

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
    HEARD_PEERS_MAX,
    PUSH_BYTES_MAX,
    RECORDS_BYTES_MAX,
    SNAPSHOT_BYTES_MAX,
)
from corianderhold.coordination.configuration.replica import Replica, decode_snapshot
from corianderhold.coordination.configuration.snapshots import SnapshotKeeper
from corianderhold.coordination.configuration.texts import (
    SnapshotTexts,
    decompress_snapshot,
)
from corianderhold.ids import InstanceId, Offset
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
class HeardHead:
    """The head that a peer last told, at a monotonic time in seconds."""

    instance: InstanceId
    head: Head
    heard_at: float


class Exchanger:
    """
    Exchange with peers and answer their exchanges.

    `note_behind` is told of each peer that turns out to know more than this daemon.
    All methods may be called from any thread.
    """

    def __init__(
        self,
        replica: Replica,
        keeper: SnapshotKeeper,
        holder: ConfigurationHolder,
        client: ControlClient,
        clock: Clock,
        metrics: Metrics,
        note_behind: Callable[[InstanceId], None],
    ) -> None:
        self._replica = replica
        self._keeper = keeper
        self._holder = holder
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._note_behind = note_behind
        self._texts = SnapshotTexts(replica)
        self._heard_lock = threading.Lock()
        self._fetch_lock = threading.Lock()
        self._heard: OrderedDict[InstanceId, HeardHead] = OrderedDict()

    def list_heard(self) -> tuple[HeardHead, ...]:
        """Return the heads last heard of peers, the newest last."""
        with self._heard_lock:
            return tuple(self._heard.values())

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Answer a peer's exchange; raise ExchangeError when it is malformed."""
        exchange = decode_exchange(body)
        self._note_heard(sender.instance, exchange.head)
        if exchange.snapshot is not None:
            part = self._texts.read_part(exchange.snapshot)
            return encode_reply(ExchangeReply(self._replica.head, part=part))
        self._replica.take_records(exchange.records)
        if exchange.head.is_ahead_of(self._replica.head):
            self._note_behind(sender.instance)
        return encode_reply(self._build_reply(exchange.head))

    def exchange(self, member: Member, push: bool = False) -> bool:
        """
        Bring both daemons to the newer state; return whether the peer answered.

        `push` sends the last record along, where it is short.
        """
        records = self._pick_last_record() if push else ()
        for _ in range(EXCHANGE_ROUNDS_MAX):
            sent_at = self._clock.read_monotonic()
            reply = self._ask(member, Exchange(self._replica.head, records))
            if reply is None:
                return False
            advanced = self._take_reply(member, reply)
            mine = self._replica.head
            if reply.head.is_ahead_of(mine):
                if not advanced:
                    return True
                records = ()
                continue
            self._adopt_proof(member, sent_at, reply)
            if not mine.is_ahead_of(reply.head):
                return True
            records = self._slice_tail(reply.head.next_offset)
            if not records:
                return True
        return True

    def _pick_last_record(self) -> tuple[LogRecord, ...]:
        """Return the last record, where it is short enough to send unasked."""
        last = Offset(self._replica.head.next_offset - 1)
        records = self._replica.slice_tail(last, PUSH_BYTES_MAX)
        size = sum(len(record.data) for record in records)
        return records if size <= PUSH_BYTES_MAX else ()

    def _slice_tail(self, from_offset: Offset) -> tuple[LogRecord, ...]:
        """Return what a peer lacks; it fetches a long snapshot itself, compressed."""
        return self._replica.slice_tail(
            from_offset, RECORDS_BYTES_MAX, plain_snapshot=False
        )

    def _build_reply(self, theirs: Head) -> ExchangeReply:
        # The age is read before the head: the proof must not outrun the records.
        age_ms = self._read_verified_age_ms()
        mine = self._replica.head
        records: tuple[LogRecord, ...] = ()
        if mine.is_ahead_of(theirs):
            records = self._slice_tail(theirs.next_offset)
        return ExchangeReply(
            mine,
            age_ms,
            records,
            mark=self._keeper.read_mark(),
            snapshot_needed=needs_snapshot(mine, theirs) and not records,
        )

    def _note_heard(self, instance: InstanceId, head: Head) -> None:
        heard = HeardHead(instance, head, self._clock.read_monotonic())
        with self._heard_lock:
            self._heard[instance] = heard
            self._heard.move_to_end(instance)
            if len(self._heard) > HEARD_PEERS_MAX:
                self._heard.popitem(last=False)

    def _take_reply(self, member: Member, reply: ExchangeReply) -> bool:
        """Take what the peer sent; return whether the own state advanced."""
        self._note_heard(member.instance, reply.head)
        if reply.mark is not None:
            self._keeper.learn_mark(reply.mark)
        if reply.snapshot_needed:
            with self._fetch_lock:
                if not reply.head.is_ahead_of(self._replica.head):
                    return True  # another thread has fetched it meanwhile
                return self._fetch_snapshot(member)
        return self._replica.take_records(reply.records)

    def _adopt_proof(
        self, member: Member, sent_at: float, reply: ExchangeReply
    ) -> None:
        """Take over the peer's proof that the view is complete, never as younger."""
        mine = self._replica.head
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
        """Fetch the peer's newest snapshot in parts and adopt it."""
        part = self._ask_part(member, SnapshotQuery(Offset(NEWEST_SNAPSHOT), 0))
        data = b""
        while part is not None and part.from_byte == len(data):
            data += part.data
            if len(data) >= part.total_bytes or not part.data:
                return self._take_compressed(data)
            if part.total_bytes > SNAPSHOT_BYTES_MAX:
                return False
            part = self._ask_part(member, SnapshotQuery(part.folded_to, len(data)))
        return False

    def _take_compressed(self, data: bytes) -> bool:
        text = decompress_snapshot(data)
        snapshot = None if isinstance(text, Err) else decode_snapshot(text.ok_value)
        if snapshot is None:
            log_warning("snapshot_corrupt", bytes=len(data))
            return False
        self._metrics.increment("configuration_snapshots_from_peers")
        return self._replica.take_snapshot(snapshot)

    def _ask_part(self, member: Member, query: SnapshotQuery) -> SnapshotPart | None:
        reply = self._ask(member, Exchange(self._replica.head, snapshot=query))
        return None if reply is None else reply.part

    def _ask(self, member: Member, exchange: Exchange) -> ExchangeReply | None:
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
    """Return whether records alone may leave out something that a peer lacks."""
    return mine.is_ahead_of(theirs) and mine.digest != theirs.digest
