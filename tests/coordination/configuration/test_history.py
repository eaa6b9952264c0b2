"""Test that the audit trail and the records kept for peers are bounded."""

from unittest import TestCase

from corianderhold.coordination.configuration.const import (
    HISTORY_BYTES_MAX,
    HISTORY_ENTRIES_MAX,
    SENT_RECORD_BYTES_MAX,
)
from corianderhold.coordination.configuration.history import History
from corianderhold.coordination.configuration.tail import Tail
from corianderhold.ids import ChangeId, Offset, Version
from corianderhold.protocol.store.model import LogRecord
from corianderhold.state.configuration.fold import FoldOutcome, OutcomeKind
from corianderhold.state.configuration.records import Delta
from tests.common.changes import RADIO_KEY, make_text

ACCEPTED = FoldOutcome(OutcomeKind.ACCEPTED, Offset(0), Version(1))


class HistoryTests(TestCase):
    """Check that the audit trail keeps the newest changes within its limits."""

    def test_number_of_entries_is_bounded(self) -> None:
        history = History()
        for number in range(HISTORY_ENTRIES_MAX + 3):
            history.record(make_text(f"c{number}", 0, Delta()), ACCEPTED)
        self.assertEqual(len(history.list_entries()), HISTORY_ENTRIES_MAX)
        self.assertIsNone(history.find(ChangeId("c2")))
        self.assertIsNotNone(history.find(ChangeId("c3")))

    def test_size_is_bounded_but_for_the_newest(self) -> None:
        text = make_text("long", 0, Delta(keys=(RADIO_KEY,) * 200))
        count = HISTORY_BYTES_MAX // len(text)
        history = History()
        for _ in range(count + 5):
            history.record(text, ACCEPTED)
        self.assertEqual(len(history.list_entries()), count)


class TailTests(TestCase):
    """Check that the tail never skips a record that a peer would miss."""

    def test_slices_have_no_gap(self) -> None:
        tail = Tail(records_max=3, bytes_max=100)
        for offset in (1, 2, 3, 4, 9, 10):
            tail.append(LogRecord(Offset(offset), "x"))
        self.assertEqual(tail.slice_from(Offset(4), 100), ())
        offsets = [record.offset for record in tail.slice_from(Offset(9), 100)]
        self.assertEqual(offsets, [9, 10])
        self.assertEqual(len(tail.slice_from(Offset(9), 1)), 1)

    def test_record_that_fits_no_frame_ends_the_slice(self) -> None:
        tail = Tail(records_max=9, bytes_max=10 * SENT_RECORD_BYTES_MAX)
        tail.append(LogRecord(Offset(1), "x"))
        tail.append(LogRecord(Offset(2), "x" * (SENT_RECORD_BYTES_MAX + 1)))
        tail.append(LogRecord(Offset(3), "x"))
        self.assertEqual(tail.slice_from(Offset(1), 100), ())
        self.assertEqual(len(tail.slice_from(Offset(3), 100)), 1)
