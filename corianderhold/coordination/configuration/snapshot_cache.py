"""Cache compressed snapshots of the local state for peers far behind."""

import threading
import zlib
from collections import OrderedDict

from result import Err, Ok, Result

from corianderhold.coordination.configuration.const import (
    SNAPSHOT_BYTES_MAX,
    SNAPSHOT_CACHE_SIZE,
    SNAPSHOT_PART_BYTES,
)
from corianderhold.coordination.configuration.replica import Replica
from corianderhold.ids import FIRST_ERA, Offset
from corianderhold.protocol.configuration.messages import SnapshotPart, SnapshotQuery
from corianderhold.state.configuration.codec import encode_snapshot
from corianderhold.state.configuration.fold import build_snapshot


class SnapshotCache:
    """Serve parts of snapshots; reuse one while the tail continues it."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._lock = threading.Lock()
        self._compressed: OrderedDict[Offset, bytes] = OrderedDict()
        self._era = FIRST_ERA

    def read_part(self, query: SnapshotQuery) -> SnapshotPart:
        """Return the requested part, or the first part of the newest snapshot."""
        with self._lock:
            self._discard_earlier_era()
            text = self._compressed.get(query.folded_to)
            folded_to, from_byte = query.folded_to, query.from_byte
            if text is None or not 0 <= from_byte < len(text):
                folded_to, text = self._read_newest()
                from_byte = 0
        data = text[from_byte : from_byte + SNAPSHOT_PART_BYTES]
        return SnapshotPart(folded_to, from_byte, len(text), data, self._era)

    def _discard_earlier_era(self) -> None:
        """Discard the snapshots if their offsets belong to an earlier era."""
        era = self._replica.head.era
        if era != self._era:
            self._compressed.clear()
            self._era = era

    def _read_newest(self) -> tuple[Offset, bytes]:
        for folded_to in reversed(self._compressed):
            if self._is_continued(folded_to):
                return folded_to, self._compressed[folded_to]
        snapshot = build_snapshot(self._replica.state)
        text = zlib.compress(encode_snapshot(snapshot).encode())
        self._compressed[snapshot.folded_to] = text
        while len(self._compressed) > SNAPSHOT_CACHE_SIZE:
            self._compressed.popitem(last=False)
        return snapshot.folded_to, text

    def _is_continued(self, folded_to: Offset) -> bool:
        """Return whether the records that follow a snapshot are still kept."""
        following = Offset(folded_to + 1)
        if following == self._replica.head.next_offset:
            return True
        return bool(self._replica.slice_tail(following, 1, include_long_snapshot=False))


def decompress_snapshot(data: bytes) -> Result[str, str]:
    """Return the text of a compressed snapshot, or a description of its fault."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, SNAPSHOT_BYTES_MAX)
        if not decompressor.eof:
            return Err("the snapshot is truncated or too long")
        return Ok(text.decode())
    except (zlib.error, UnicodeDecodeError) as error:
        return Err(repr(error))
