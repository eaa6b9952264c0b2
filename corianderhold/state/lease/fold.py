"""Fold the lease records of one shard into terms, deterministically for all readers."""

from dataclasses import replace

from corianderhold.ids import FIRST_ERA, StoreEra
from corianderhold.state.lease.model import (
    NO_RECORD,
    LeaseRecord,
    LeaseRecordId,
    LeaseTerm,
    RecordKind,
    WaitClass,
    extract_era,
)


class LeaseFold:
    """
    Accept records that build on the newest accepted one and ignore all others.

    If the log no longer retains its oldest records, the fold is `certain` only once it
    has seen a record that builds on another one that it has seen: the writer took that
    other record to be in force.

    `era` is the era of the store that the records are read in.
    """

    def __init__(self, history_complete: bool, era: StoreEra = FIRST_ERA) -> None:
        self.certain = history_complete
        self._era = era
        self.term: LeaseTerm | None = None
        self._tentative: dict[LeaseRecordId, LeaseTerm] = {}

    @property
    def may_append(self) -> bool:
        """Return whether a record may build on the newest one of this fold."""
        return self.certain or self.term is None

    def apply(self, record: LeaseRecord) -> LeaseTerm | None:
        """Apply a record; return the new term, or None if the record is ignored."""
        if self.certain:
            return self._apply_certain(record)
        return self._apply_tentative(record)

    def _apply_certain(self, record: LeaseRecord) -> LeaseTerm | None:
        """Accept a record that builds on the newest one."""
        newest = self.term.record_id if self.term else NO_RECORD
        if record.builds_on != newest:
            return None
        term = _build_term(record, self.term)
        if term is not None:
            term = self._apply_era(record, term)
            self.term = term
        return term

    def _apply_era(self, record: LeaseRecord, term: LeaseTerm) -> LeaseTerm:
        """
        Return the term with the longest wait if records before it may have been lost.

        That is so for a record of an earlier era, and for the first one of a stream
        that a restore has emptied.
        """
        settled = extract_era(record.record_id) >= self._era
        has_base = self.term is not None or self._era == FIRST_ERA
        if settled and has_base:
            return term
        return replace(term, wait=WaitClass.NEWCOMER, settled=settled)

    def _apply_tentative(self, record: LeaseRecord) -> LeaseTerm | None:
        """Assume that a record is the newest one until two records are linked."""
        if record.record_id in self._tentative:
            return None
        base = self._tentative.get(record.builds_on)
        if base is not None:
            self.certain = True
            self.term = base
            self._tentative.clear()
            return self._apply_certain(record)
        self.term = LeaseTerm(
            record.number,
            record.record_id,
            record.holder,
            record.successors,
            WaitClass.NEWCOMER,
        )
        self._tentative[record.record_id] = self.term
        return self.term


def _build_term(record: LeaseRecord, base: LeaseTerm | None) -> LeaseTerm | None:
    """Return the term that a record starts, or None if its writer may not start it."""
    if record.number != (base.number + 1 if base else 1):
        return None
    if record.kind is not RecordKind.TAKEOVER:
        if base is None or record.writer != base.holder:
            return None
        successors = record.successors
        if record.kind is RecordKind.HANDOVER:
            successors = base.members
        wait = WaitClass.NONE
    elif base is not None and record.writer.instance in base.members:
        successors = base.members
        wait = WaitClass.TAKEOVER
    else:
        successors = record.successors
        wait = WaitClass.NONE if base is None else WaitClass.NEWCOMER
    successors -= {record.holder.instance}
    return LeaseTerm(record.number, record.record_id, record.holder, successors, wait)
