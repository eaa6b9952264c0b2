"""
Test the synchronisation of member tables, its schedule and the stream of the log.

Guards against tables that do not converge, messages over the size limit, rounds that
come too often after revivals, and contacts lost in an outage of the log.
"""

from dataclasses import replace
from random import Random
from unittest import TestCase

from corianderhold.coordination.membership.const import (
    JOIN_SYNC_DELAY_S,
    LOG_TAIL_RECORDS,
    SYNC_FAST_INTERVAL_S,
    SYNC_FAST_ROUNDS,
    SYNC_LARGE_FLEET,
    SYNC_PAGE_BYTES,
    SYNC_RETRY_S,
    SYNC_SPACING_S,
)
from corianderhold.coordination.membership.schedule import SyncSchedule
from corianderhold.coordination.membership.stream import MemberStream
from corianderhold.coordination.membership.sync import (
    answer_request,
    compute_digests,
    list_newer,
    split_pages,
)
from corianderhold.protocol.membership.codec import encode_reply
from corianderhold.protocol.membership.model import SyncRecord, SyncRequest
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.membership.model import MemberState
from corianderhold.state.membership.table import MemberTable
from tests.common.log import FakeLog
from tests.common.membership import build_member, find_contact

MESSAGE_LIMIT_BYTES = 64 * 1024
NOW_S = 1000.0


def build_table(numbers: range) -> MemberTable:
    """Return a table of live members with these numbers."""
    table = MemberTable()
    for number in numbers:
        table.merge(build_member(number), NOW_S)
    return table


class SyncTests(TestCase):
    """Synchronise two tables."""

    def pull(self, ours: MemberTable, theirs: MemberTable) -> list[SyncRecord]:
        """Fetch all pages from the other table and push the records that it lacks."""
        digests = compute_digests(ours.read_view())
        received: list[SyncRecord] = []
        last = False
        while not last:
            after = received[-1].member.instance if received else ""
            request = SyncRequest(digests, after)
            reply = answer_request(theirs.read_view(), request, NOW_S)
            self.assertLess(len(encode_reply(reply)), MESSAGE_LIMIT_BYTES)
            received.extend(reply.records)
            last = reply.last
        for record in list_newer(ours.read_view(), reply.buckets, received, NOW_S):
            theirs.merge(record.member, NOW_S, record.dead_for_s)
        for record in received:
            ours.merge(record.member, NOW_S, record.dead_for_s)
        return received

    def test_joining_daemon_fetches_the_whole_table_in_pages(self) -> None:
        ours, theirs = build_table(range(1)), build_table(range(1, 1700))
        received = self.pull(ours, theirs)
        self.assertEqual(len(received), 1699)
        self.assertEqual(ours.count_live(), 1700)
        self.assertEqual(theirs.count_live(), 1700)

    def test_equal_tables_exchange_no_records(self) -> None:
        self.assertEqual(self.pull(build_table(range(99)), build_table(range(99))), [])

    def test_death_reaches_the_table_that_missed_it(self) -> None:
        ours, theirs = build_table(range(200)), build_table(range(200))
        dead = build_member(7, state=MemberState.DEAD)
        theirs.merge(dead, NOW_S - 60.0)
        received = self.pull(ours, theirs)
        self.assertLess(len(received), 20)
        self.assertEqual(ours.get_member(dead.instance), dead)
        self.assertEqual(ours.read_view().dead_since[dead.instance], NOW_S - 60.0)

    def test_pages_stay_below_their_limit(self) -> None:
        records = [SyncRecord(build_member(number)) for number in range(2000)]
        pages = list(split_pages(records))
        self.assertGreater(len(pages), 1)
        self.assertEqual([record for page in pages for record in page], records)
        self.assertLess(SYNC_PAGE_BYTES, MESSAGE_LIMIT_BYTES)


class SyncScheduleTests(TestCase):
    """Check when the next synchronisation is due."""

    def setUp(self) -> None:
        self.schedule = SyncSchedule(Random(1))

    def test_nothing_is_due_before_the_join(self) -> None:
        self.assertEqual(self.schedule.due_at_s, float("inf"))
        self.schedule.record_join(NOW_S)
        self.assertLessEqual(self.schedule.due_at_s, NOW_S + JOIN_SYNC_DELAY_S)

    def test_revivals_bring_it_forward_but_keep_the_spacing(self) -> None:
        self.schedule.record_outcome(succeeded=True, now_s=NOW_S)
        regular_s = self.schedule.due_at_s
        for _ in range(100):
            self.schedule.record_revival(NOW_S, SYNC_LARGE_FLEET)
        self.assertLess(self.schedule.due_at_s, regular_s)
        self.assertGreaterEqual(self.schedule.due_at_s, NOW_S + SYNC_SPACING_S)

    def test_joined_daemon_goes_on_while_exchanges_bring_news(self) -> None:
        self.schedule.record_join(NOW_S)
        for round_number in range(SYNC_FAST_ROUNDS):
            self.schedule.record_outcome(True, NOW_S, received_updates=True)
            soon = self.schedule.due_at_s < NOW_S + 2 * SYNC_FAST_INTERVAL_S
            self.assertEqual(soon, round_number < SYNC_FAST_ROUNDS - 1)

    def test_failure_is_tried_again_soon(self) -> None:
        self.schedule.record_outcome(succeeded=False, now_s=NOW_S)
        self.assertLess(self.schedule.due_at_s, NOW_S + 2 * SYNC_RETRY_S)


class MemberStreamTests(TestCase):
    """Check the contacts found in the log."""

    def setUp(self) -> None:
        self.log = FakeLog()
        self.stream = MemberStream(self.log)

    def test_contacts_are_those_that_have_not_left(self) -> None:
        writer = MemberStream(self.log)
        writer.append(build_member(1))
        writer.append(build_member(2))
        self.log.append(StreamName.MEMBERS, "not a record", 1.0)
        writer.append(build_member(1, sequence=2, state=MemberState.LEFT))
        self.assertTrue(self.stream.read().is_ok())
        self.assertEqual(self.stream.list_contacts(), (find_contact(build_member(2)),))

    def test_only_the_tail_of_a_long_stream_is_read(self) -> None:
        writer = MemberStream(self.log)
        for number in range(3 * LOG_TAIL_RECORDS):
            writer.append(build_member(number))
        self.stream.read()
        self.assertEqual(self.log.reads, 2)
        contacts = self.stream.list_contacts()
        self.assertEqual(self.stream.list_members(), ())
        self.assertEqual(len(contacts), LOG_TAIL_RECORDS)
        newest = build_member(3 * LOG_TAIL_RECORDS - 1)
        self.assertEqual(contacts[-1], find_contact(newest))

    def test_records_past_retention_are_dropped(self) -> None:
        MemberStream(self.log).append(build_member(1))
        self.stream.read()
        view = build_table(range(3)).read_view()
        self.assertEqual(self.stream.count_live(view), 1)
        self.log.truncate(StreamName.MEMBERS, 1)
        self.stream.read()
        self.assertEqual(self.stream.count_live(view), 0)

    def test_offsets_assigned_again_after_a_restore_are_read(self) -> None:
        writer = MemberStream(self.log)
        for number in range(3):
            writer.append(build_member(number))
        self.stream.read()
        self.log.restore({StreamName.MEMBERS: 1})
        for number in (7, 8, 9):
            writer.append(build_member(number))
        self.assertTrue(self.stream.read().is_ok())
        found = [find_contact(build_member(number)) for number in (0, 7, 8, 9)]
        self.assertEqual(list(self.stream.list_contacts()), found)
        self.assertEqual(self.stream.era, 2)

    def test_outage_keeps_the_contacts(self) -> None:
        MemberStream(self.log).append(build_member(1))
        self.stream.read()
        self.log.down = True
        self.assertTrue(self.stream.read().is_err())
        self.assertEqual(len(self.stream.list_contacts()), 1)

    def test_duplicate_of_an_announcement_is_harmless(self) -> None:
        self.log.lose_append_answers = True
        member = replace(build_member(1), sequence=4)
        self.assertTrue(MemberStream(self.log).append(member).is_err())
        MemberStream(self.log).append(member)
        self.stream.read()
        self.assertEqual(self.stream.list_contacts(), (find_contact(member),))
