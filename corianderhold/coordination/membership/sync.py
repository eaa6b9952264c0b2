"""Compare two tables by bucket digests and transfer differing records in pages."""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from random import Random

from corianderhold.coordination.membership.const import (
    BUCKETS,
    CROSS_DOMAIN_SYNC_SHARE,
    SYNC_PAGE_BYTES,
)
from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.codec import encode_member
from corianderhold.protocol.membership.model import SyncRecord, SyncReply, SyncRequest
from corianderhold.state.membership.model import Member
from corianderhold.state.membership.table import MemberView, compute_order_key

DIGEST_BYTES = 8
RECORD_OVERHEAD_BYTES = 10


def compute_bucket(instance: InstanceId) -> int:
    """Return the bucket that an instance belongs to."""
    digest = blake2b(instance.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def compute_digests(view: MemberView) -> tuple[int, ...]:
    """
    Return one digest for each bucket over its live members.

    Dead members are excluded, as daemons remove them at different times. Alive and
    suspected are not distinguished.
    """
    digests = [0] * BUCKETS
    for member in view.live:
        text = f"{member.instance} {member.incarnation} {member.sequence}"
        digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
        bucket = compute_bucket(member.instance)
        digests[bucket] ^= int.from_bytes(digest, "big", signed=True)
    return tuple(digests)


def choose_peer(
    view: MemberView, own: Member, random: Random, is_joining: bool
) -> Member | None:
    """
    Return a random peer, mostly of the own failure domain, or None without any.

    A joining daemon uses other domains only if it knows no member of its own.
    """
    others = [member for member in view.live if member.instance != own.instance]
    near = [member for member in others if member.domain == own.domain]
    far_share = 0.0 if is_joining else CROSS_DOMAIN_SYNC_SHARE
    if near and random.random() >= far_share:
        return random.choice(near)
    return random.choice(others) if others else None


def answer_request(view: MemberView, request: SyncRequest, now_s: float) -> SyncReply:
    """Return the page of records that the sender of `request` may lack."""
    own = compute_digests(view)
    pairs = enumerate(zip(own, request.digests, strict=False))
    buckets = tuple(bucket for bucket, (ours, theirs) in pairs if ours != theirs)
    records = [
        record
        for record in list_records(view, buckets, now_s)
        if record.member.instance > request.after
    ]
    page = next(split_pages(records), ())
    return SyncReply(buckets, page, last=len(page) == len(records))


def list_records(
    view: MemberView, buckets: tuple[int, ...], now_s: float
) -> list[SyncRecord]:
    """Return the records in `buckets`, ordered by instance."""
    wanted = frozenset(buckets)
    if not wanted:
        return []
    return [
        SyncRecord(member, compute_age(view, member, now_s))
        for member in sorted(view.records, key=lambda member: member.instance)
        if compute_bucket(member.instance) in wanted
    ]


def list_newer(
    view: MemberView,
    buckets: tuple[int, ...],
    received: Iterable[SyncRecord],
    now_s: float,
) -> list[SyncRecord]:
    """Return the records in `buckets` that are newer than those received."""
    theirs = {record.member.instance: record.member for record in received}
    return [
        record
        for record in list_records(view, buckets, now_s)
        if is_newer(record.member, theirs.get(record.member.instance))
    ]


def is_newer(member: Member, other: Member | None) -> bool:
    """Return whether `member` is newer than another announcement, if any."""
    return other is None or compute_order_key(member) > compute_order_key(other)


def compute_age(view: MemberView, member: Member, now_s: float) -> int:
    """Return how many whole seconds a member has been dead, 0 if live."""
    since = view.dead_since.get(member.instance)
    return 0 if since is None else max(0, int(now_s - since))


def split_pages(records: Iterable[SyncRecord]) -> Iterator[tuple[SyncRecord, ...]]:
    """Yield the records in pages of at most SYNC_PAGE_BYTES."""
    page: list[SyncRecord] = []
    size_bytes = 0
    for record in records:
        record_bytes = len(encode_member(record.member)) + RECORD_OVERHEAD_BYTES
        if page and size_bytes + record_bytes > SYNC_PAGE_BYTES:
            yield tuple(page)
            page, size_bytes = [], 0
        page.append(record)
        size_bytes += record_bytes
    if page:
        yield tuple(page)
