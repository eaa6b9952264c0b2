"""Keep quarantines in the platform's log, for owners that reach no other owner."""

import json
from collections import deque
from typing import Any

from result import Err
from voluptuous import All, Invalid, Length, Match, Range, Required, Schema

from corianderhold.clock import Clock
from corianderhold.coordination.quarantine.const import (
    LOG_KEYS,
    LOG_PAGE_RECORDS,
    LOG_PAGES_MAX,
    LOG_PENDING_MAX,
    LOG_TIMEOUT_S,
)
from corianderhold.ids import FIRST_ERA, Fingerprint, Offset, ServiceName
from corianderhold.log import log_warning
from corianderhold.nesting import load_json
from corianderhold.protocol.store.model import (
    AppendOnlyLog,
    LogPage,
    LogRecord,
    StreamName,
)
from corianderhold.state.quarantine.const import FINGERPRINT_BYTES, QUARANTINE_MAX_S
from corianderhold.state.quarantine.model import Quarantine

MILLISECONDS = 1000
TIME_MS = All(int, Range(min=0, max=2**53))
RECORD_SCHEMA = Schema(
    {
        Required("fingerprint"): All(
            str, Match(f"^[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}$")
        ),
        Required("service"): All(str, Length(min=1, max=200)),
        Required("since_ms"): TIME_MS,
        Required("until_ms"): TIME_MS,
        Required("count"): All(int, Range(min=1, max=1_000_000)),
    },
    extra=True,
)


class QuarantineStream:
    """
    Append quarantines to the stream and read those of others; used by one thread.

    Times are Unix milliseconds there. A clock that is wrong shortens or prolongs a
    quarantine, but not beyond QUARANTINE_MAX_S. One that is over was released. What
    can't be appended now is appended by a later call.
    """

    def __init__(self, log: AppendOnlyLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._position = Offset(0)
        self._era = FIRST_ERA
        self._pending: deque[Quarantine] = deque(maxlen=LOG_PENDING_MAX)

    def add(self, quarantine: Quarantine) -> None:
        """Add a quarantine to those that are to be appended; thread-safe."""
        self._pending.append(quarantine)

    def append_pending(self) -> bool:
        """Append what is to be appended; return whether all was."""
        while self._pending:
            quarantine = self._pending[0]
            outcome = self._log.append(
                StreamName.QUARANTINES,
                self._encode(quarantine),
                LOG_TIMEOUT_S,
                key=f"slot-{quarantine.fingerprint[-1] % LOG_KEYS}",
            )
            if isinstance(outcome, Err):
                failure = outcome.err_value
                log_warning("quarantine_append_failed", failure=failure)
                return False
            self._pending.popleft()
        return True

    def read(self) -> tuple[Quarantine, ...] | None:
        """Return what was appended since the last read, None if the log is away."""
        found: list[Quarantine] = []
        for _ in range(LOG_PAGES_MAX):
            page = self._read_page()
            if page is None:
                return None
            for record in page.records:
                found += self._decode(record)
                self._position = Offset(record.offset + 1)
            if not page.records or self._position >= page.next_offset:
                break
        return tuple(found)

    def _read_page(self) -> LogPage | None:
        outcome = self._log.read(
            StreamName.QUARANTINES, self._position, LOG_PAGE_RECORDS, LOG_TIMEOUT_S
        )
        if isinstance(outcome, Err):
            return None
        page = outcome.ok_value
        if page.era == self._era and page.next_offset >= self._position:
            return page
        # The store was restored from an older copy; offsets are assigned again.
        self._era = page.era
        is_first = self._position == 0
        self._position = Offset(0)
        return page if is_first else self._read_page()

    def _encode(self, quarantine: Quarantine) -> str:
        ahead_s = self._clock.read_wall() - self._clock.read_monotonic()
        fields = {
            "fingerprint": quarantine.fingerprint.hex(),
            "service": quarantine.service,
            "since_ms": max(0, round((quarantine.since + ahead_s) * MILLISECONDS)),
            "until_ms": max(0, round((quarantine.until + ahead_s) * MILLISECONDS)),
            "count": quarantine.count,
        }
        return json.dumps(fields, separators=(",", ":"))

    def _decode(self, record: LogRecord) -> list[Quarantine]:
        """Return the quarantine of a record, nothing if it is malformed."""
        try:
            fields: dict[str, Any] = RECORD_SCHEMA(load_json(record.data))
        except (ValueError, RecursionError, Invalid) as error:
            log_warning(
                "quarantine_record_skipped", offset=record.offset, error=str(error)
            )
            return []
        now = self._clock.read_monotonic()
        wall_ms = self._clock.read_wall() * MILLISECONDS
        left_s = (fields["until_ms"] - wall_ms) / MILLISECONDS
        age_s = (wall_ms - fields["since_ms"]) / MILLISECONDS
        return [
            Quarantine(
                Fingerprint(bytes.fromhex(fields["fingerprint"])),
                ServiceName(fields["service"]),
                now - max(0.0, age_s),
                now + min(left_s, QUARANTINE_MAX_S),
                fields["count"],
            )
        ]
