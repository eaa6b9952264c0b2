"""
Test the fold of lease records.

Candidates append to the same log concurrently, and late or repeated records remain in
it; at most one of the records that build on the same one may be accepted.
"""

from unittest import TestCase

from corianderhold.ids import Incarnation, InstanceId
from corianderhold.state.lease.fold import LeaseFold
from corianderhold.state.lease.model import (
    LeaseHolder,
    LeaseRecord,
    LeaseRecordId,
    RecordKind,
    ShardId,
    WaitClass,
)

SUCCESSORS = frozenset({InstanceId("b"), InstanceId("c")})


def build_record(
    number: int,
    record_id: str,
    builds_on: str,
    writer: str,
    kind: RecordKind = RecordKind.TAKEOVER,
    successors: frozenset[InstanceId] = SUCCESSORS,
) -> LeaseRecord:
    holder = LeaseHolder(InstanceId(writer), Incarnation(1))
    return LeaseRecord(
        ShardId("s"),
        LeaseRecordId(record_id),
        number,
        LeaseRecordId(builds_on),
        kind,
        holder,
        holder,
        successors,
    )


class LeaseFoldTests(TestCase):
    """Check which records are accepted and which wait applies."""

    def setUp(self) -> None:
        self.fold = LeaseFold(history_complete=True)
        self.fold.apply(build_record(1, "r1", "", "a"))

    def test_repeated_and_late_records_are_ignored(self) -> None:
        self.assertIsNone(self.fold.apply(build_record(1, "r1", "", "a")))
        self.assertIsNotNone(self.fold.apply(build_record(2, "r2", "r1", "b")))
        self.assertIsNone(self.fold.apply(build_record(2, "r3", "r1", "c")))

    def test_takeover_keeps_the_closed_set(self) -> None:
        named = frozenset({InstanceId("z")})
        record = build_record(2, "r2", "r1", "b", successors=named)
        term = self.fold.apply(record)
        assert term is not None
        self.assertEqual(term.members, {"a", "b", "c"})
        self.assertEqual(term.wait, WaitClass.TAKEOVER)

    def test_newcomer_has_the_longer_wait(self) -> None:
        term = self.fold.apply(build_record(2, "r2", "r1", "z"))
        assert term is not None
        self.assertEqual(term.wait, WaitClass.NEWCOMER)

    def test_only_the_holder_renews(self) -> None:
        renewal = RecordKind.RENEWAL
        self.assertIsNone(self.fold.apply(build_record(2, "r2", "r1", "b", renewal)))
        self.assertIsNotNone(self.fold.apply(build_record(2, "r3", "r1", "a", renewal)))

    def test_truncated_log_is_certain_once_two_records_are_linked(self) -> None:
        fold = LeaseFold(history_complete=False)
        fold.apply(build_record(7, "r7", "r6", "a"))
        fold.apply(build_record(7, "ignored", "r6", "c"))
        self.assertFalse(fold.may_append)
        fold.apply(build_record(8, "r8", "r7", "b"))
        self.assertTrue(fold.may_append)
        assert fold.term is not None
        self.assertEqual(fold.term.record_id, "r8")
