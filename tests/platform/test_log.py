"""
Test the streams in the platform's store against a fake.

They guard against records or evacuations that are lost, or kept for too long, when the
store has deleted history and only the newest record of each key is left.
"""

from dataclasses import replace
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.ids import FailureDomainId, Offset
from corianderhold.protocol.store.model import ReadFailure, StreamName
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.configuration.fold import INITIAL_STATE, FoldState, fold
from corianderhold.state.configuration.records import SnapshotRecord
from corianderhold.state.membership.model import Address
from corianderhold_platform.log import PlatformLog
from tests.common.ports import find_free_port
from tests.platform.documents import write_document
from tests.platform.store import PlatformStore

TIMEOUT_S = 5.0


class PlatformLogTest(TestCase):
    """The streams behave as the `Log` protocol requires."""

    def setUp(self) -> None:
        address = Address("127.0.0.1", find_free_port())
        self.store = PlatformStore(address)
        self.store.start()
        self.addCleanup(self.store.stop)
        self.log = PlatformLog(address, SystemClock(), (FailureDomainId("west-a"),))

    def _append(self, key: str, data: str) -> Offset:
        return self.log.append(StreamName.MEMBERS, data, TIMEOUT_S, key).unwrap()

    def _read(self, start: int) -> list[tuple[int, str]]:
        page = self.log.read(StreamName.MEMBERS, Offset(start), 100, TIMEOUT_S)
        self._page = page.unwrap()
        return [(record.offset, record.data) for record in self._page.records]

    def test_append_and_read(self) -> None:
        self.assertEqual([self._append("a", "one"), self._append("b", "two")], [0, 1])
        self.assertEqual(self._read(0), [(0, "one"), (1, "two")])
        self.assertEqual(self._read(2), [])
        self.assertEqual(self._page.next_offset, 2)

    def test_newest_records_replace_deleted_history(self) -> None:
        for key, data in (("a", "old"), ("b", "two"), ("a", "new")):
            self._append(key, data)
        self.store.forget("keyed.members")
        self._append("c", "three")
        self.assertEqual(self._read(0), [(1, "two"), (2, "new"), (3, "three")])
        self.assertEqual(self._page.first_offset, 1)
        self.assertEqual(self._read(4), [])

    def test_configuration(self) -> None:
        self.store.put("keyed.op", "config", write_document(6))
        self.store.put("keyed.op", "config", write_document(7))
        self.store.put("keyed.op", "config", b"{")
        page = self.log.read(StreamName.CONFIGURATION, Offset(0), 100, TIMEOUT_S)
        replaced, first, second = page.unwrap().records
        self.assertEqual(replaced.data, "")
        record = decode_record(first.data).unwrap()
        assert isinstance(record, SnapshotRecord)
        self.assertEqual(record.configuration.version, 7)
        self.assertTrue(decode_record(second.data).is_err())

    def _follow(self, state: FoldState) -> FoldState:
        """Fold the stream's next records into a state, as its reader does."""
        page = self.log.read(
            StreamName.CONFIGURATION, state.next_offset, 100, TIMEOUT_S
        ).unwrap()
        for record in page.records:
            if record.data:
                state, _ = fold(state, record.offset, record.data)
            elif record.offset == state.next_offset:
                state = replace(state, next_offset=Offset(record.offset + 1))
        return state

    def test_evacuations_start_and_end(self) -> None:
        self.store.put("keyed.op", "config", write_document(6))
        self.store.put("keyed.op", "evacuate/west-a", b"{}")
        state = self._follow(INITIAL_STATE)
        self.assertEqual(state.configuration.evacuated, {"west-a"})
        self.store.put("keyed.op", "config", write_document(7))
        state = self._follow(state)
        self.assertEqual((state.version, len(state.configuration.evacuated)), (7, 1))
        self.store.put("keyed.op", "evacuate/west-a", b"")
        state = self._follow(state)
        self.assertEqual(state.configuration.evacuated, frozenset())
        self.assertEqual(state.next_offset, 4)

    def test_evacuation_of_an_unknown_domain_is_ignored(self) -> None:
        self.store.put("keyed.op", "config", write_document(6))
        self.store.put("keyed.op", "evacuate/nowhere", b"{}")
        self.assertEqual(
            self._follow(INITIAL_STATE).configuration.evacuated, frozenset()
        )

    def test_evacuations_are_restored_after_deleted_history(self) -> None:
        self.store.put("keyed.op", "config", write_document(6))
        self.store.put("keyed.op", "evacuate/west-a", b"{}")
        known = self._follow(INITIAL_STATE)
        self.store.put("keyed.op", "evacuate/west-a", b"")
        self.store.forget("keyed.op")
        state = self._follow(known)
        self.assertEqual(state.configuration.evacuated, frozenset())
        self.assertEqual(state.next_offset, 3)
        self.store.put("keyed.op", "evacuate/west-a", b"{}")
        self.store.forget("keyed.op")
        for earlier in (known, state, INITIAL_STATE):
            caught_up = self._follow(self._follow(earlier))
            self.assertEqual(caught_up.configuration.evacuated, {"west-a"})
            self.assertEqual((caught_up.version, caught_up.next_offset), (6, 4))

    def test_refused_read(self) -> None:
        self.store.refuse = True
        page = self.log.read(StreamName.MEMBERS, Offset(0), 100, TIMEOUT_S)
        self.assertEqual(page.unwrap_err(), ReadFailure.UNAVAILABLE)
