"""Write and read gossip addresses in the `members` stream of the log."""

import base64
import json
from dataclasses import asdict

from result import Err, Ok, Result
from voluptuous import REMOVE_EXTRA, Any, Invalid, Required, Schema

from corianderhold.coordination.membership.const import (
    LOG_TAIL_RECORDS,
    LOG_TIMEOUT_S,
)
from corianderhold.coordination.membership.contacts import Contact
from corianderhold.ids import FIRST_ERA, Incarnation, InstanceId, Offset
from corianderhold.log import log_warning
from corianderhold.nesting import load_json
from corianderhold.protocol.membership.codec import decode_member, encode_member
from corianderhold.protocol.membership.model import MalformedMessageError
from corianderhold.protocol.store.model import (
    AppendFailure,
    AppendOnlyLog,
    LogPage,
    LogRecord,
    ReadFailure,
    StreamName,
)
from corianderhold.state.membership.model import Member, MemberState
from corianderhold.state.membership.table import MemberView, compute_order_key
from corianderhold.state.membership.target import Departure

DEPARTURE_SCHEMA = Schema(
    {
        Required("target_id"): str,
        Required("started"): Any(None, int),
        Required("withdrawn"): bool,
    },
    extra=REMOVE_EXTRA,
)


class MemberStream:
    """
    Read the tail of the stream, at most LOG_TAIL_RECORDS at a time.

    `era` is the era of the store in which the stream was read last. `is_complete` is
    whether all records since the store's first one were read. The records only give
    addresses to contact. They may be outdated, so they never enter the member table.
    """

    def __init__(self, log: AppendOnlyLog) -> None:
        self.era = FIRST_ERA
        self.is_complete = True
        self._log = log
        self._next_offset = Offset(0)
        self._logged: dict[InstanceId, tuple[Offset, Member]] = {}
        self._departures: dict[InstanceId, Departure] = {}

    def append(
        self, member: Member, departure: Departure | None = None
    ) -> Result[Offset, AppendFailure]:
        """
        Append an announcement; duplicates are harmless.

        `departure` describes the last target of that instance that drained or left.
        """
        data = encode_base64(encode_member(member))
        if departure is not None:
            data += f" {encode_base64(json.dumps(asdict(departure)).encode())}"
        return self._log.append(
            StreamName.MEMBERS, data, LOG_TIMEOUT_S, key=member.instance
        )

    def read(self) -> Result[None, ReadFailure]:
        """
        Read what was appended since the last read, skipping all but the tail.

        After a restore of the store, all records are read again.
        """
        page = self._read_page(self._next_offset)
        if page.is_ok() and self._is_restored(page.unwrap()):
            self._next_offset = Offset(0)
            self._logged.clear()
            self.era = page.unwrap().era
            page = self._read_page(self._next_offset)
        if page.is_ok() and page.unwrap().era != self.era:
            return Err(ReadFailure.UNAVAILABLE)
        if page.is_ok():
            next_offset = page.unwrap().next_offset
            tail = Offset(next_offset - LOG_TAIL_RECORDS)
            if tail > self._next_offset and len(page.unwrap().records) < (
                next_offset - self._next_offset
            ):
                page = self._read_page(tail)
                self.is_complete = False
        if page.is_err():
            return Err(page.unwrap_err())
        self._apply_page(page.unwrap())
        return Ok(None)

    def list_contacts(self) -> tuple[Contact, ...]:
        """Return the contacts of members that have not left, newest last."""
        entries = sorted(self._logged.values(), key=lambda entry: entry[0])
        return tuple(
            Contact(member.gossip_address, member.domain)
            for _, member in entries
            if member.state is not MemberState.LEFT
        )

    def list_members(self) -> tuple[Member, ...]:
        """
        Return the newest announcements of members that have not left.

        Empty if a part of the stream was skipped.
        """
        if self._next_offset > LOG_TAIL_RECORDS:
            return ()
        return tuple(
            member
            for _, member in self._logged.values()
            if member.state is not MemberState.LEFT
        )

    def names_others(self, instance: InstanceId) -> bool:
        """Return whether the stream names a member that has not left besides this."""
        return any(
            member.instance != instance and member.state is not MemberState.LEFT
            for _, member in self._logged.values()
        )

    def find_incarnation(self, instance: InstanceId) -> Incarnation | None:
        """Return the highest incarnation of an instance in the stream, or None."""
        entry = self._logged.get(instance)
        return None if entry is None else entry[1].incarnation

    def find_departure(self, instance: InstanceId) -> Departure | None:
        """Return the departure of the local target of an instance, or None."""
        return self._departures.get(instance)

    def count_live(self, view: MemberView) -> int:
        """Return how many live members have an announcement in the stream."""
        return sum(1 for member in view.live if member.instance in self._logged)

    def contains(self, instance: InstanceId) -> bool:
        """Return whether the stream has an announcement of an instance."""
        return instance in self._logged

    def _read_page(self, position: Offset) -> Result[LogPage, ReadFailure]:
        return self._log.read(
            StreamName.MEMBERS, position, LOG_TAIL_RECORDS, LOG_TIMEOUT_S
        )

    def _is_restored(self, page: LogPage) -> bool:
        """Return whether the position belongs to an earlier history of the stream."""
        return page.era > self.era or page.next_offset < self._next_offset

    def _apply_page(self, page: LogPage) -> None:
        if page.first_offset > 0 or page.era > FIRST_ERA:
            self.is_complete = False
        for record in page.records:
            self._apply_record(record)
            self._next_offset = Offset(record.offset + 1)
        for instance, (offset, _) in list(self._logged.items()):
            if offset < max(page.first_offset, page.next_offset - LOG_TAIL_RECORDS):
                del self._logged[instance]

    def _apply_record(self, record: LogRecord) -> None:
        try:
            announcement, _, departure = record.data.partition(" ")
            member = decode_member(base64.b64decode(announcement, validate=True))
            departed = decode_departure(departure) if departure else None
        except (MalformedMessageError, Invalid, ValueError, RecursionError) as error:
            log_warning("member_record_skipped", offset=record.offset, error=str(error))
            return
        known = self._logged.get(member.instance)
        if known is None or compute_order_key(member) >= compute_order_key(known[1]):
            self._logged[member.instance] = (record.offset, member)
            if departed is not None:
                self._departures[member.instance] = departed


def encode_base64(data: bytes) -> str:
    """Return bytes as text without spaces."""
    return base64.b64encode(data).decode("ascii")


def decode_departure(text: str) -> Departure:
    """Decode a departure; raise Invalid, ValueError or RecursionError."""
    fields = DEPARTURE_SCHEMA(load_json(base64.b64decode(text, validate=True)))
    return Departure(**fields)
