"""
Test configuration replication when the store is restored from an older copy.

Guards against confirmed changes, keys and evacuations that are lost or reverted, and
against records that are skipped because their offsets were assigned before.
"""

from dataclasses import replace

from corianderhold.coordination.configuration.const import RESTORED_SETTLE_S
from corianderhold.coordination.configuration.evacuator import EvacuationOutcome
from corianderhold.coordination.configuration.publisher import (
    PublishOutcome,
    RefusalReason,
)
from corianderhold.ids import FIRST_ERA, FailureDomainId, KeyId, StoreEra
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.configuration.records import Delta
from tests.common.changes import RADIO_KEY, make_change
from tests.common.followers import Daemon
from tests.coordination.configuration.case import (
    PUBLISH_TIMEOUT_S,
    SpreadTestCase,
    limit_concurrency,
)

STREAM = StreamName.CONFIGURATION
REPAIR_LIMIT_S = 10.0
DOMAIN = FailureDomainId("d1")


class RestoredStoreTests(SpreadTestCase):
    """Restore the log of nine daemons to an earlier end."""

    def setUp(self) -> None:
        super().setUp()
        self.append_changes(1, 5)
        self.settle(6)

    def restore(self, end: int) -> None:
        self.log.restore({STREAM: end})

    def await_repair(self) -> None:
        """Wait until a daemon that reads only the log would know what all others do."""
        self.settle()
        self.assertTrue(
            self.fleet.run_until(
                lambda: not self.get_any().follower.replica.is_ahead_of_log,
                REPAIR_LIMIT_S,
            )
        )
        self.fleet.run(REPAIR_LIMIT_S)
        self.settle()

    def start_alone(self) -> Daemon:
        """Start a daemon that knows no peer, and let it read the log."""
        daemon = self.add_daemon("alone", "10.9.0.1")
        for other in ("d0", "d1", "d2"):
            self.fleet.cut("alone", other)
        daemon.follower.read_log()
        return daemon

    def test_confirmed_changes_are_in_the_log_again(self) -> None:
        self.restore(3)
        self.await_repair()
        self.assertEqual(self.read_version(), 6)
        self.assertEqual(self.start_alone().holder.current.version, 6)

    def test_all_records_lost_are_in_the_log_again(self) -> None:
        self.restore(0)
        self.await_repair()
        self.assertEqual(self.start_alone().holder.current.version, 6)

    def test_change_published_after_the_restore_builds_on_the_lost_ones(self) -> None:
        self.restore(3)
        self.fleet.run(0.5)
        published = self.publish(self.get_daemon(4), "c7", 6, 7)
        self.assertEqual(
            (published.outcome, published.version), (PublishOutcome.ACCEPTED, 7)
        )
        self.settle(7)
        self.assertEqual(self.start_alone().holder.current.version, 7)

    def test_daemon_started_after_the_restore_confirms_nothing_on_the_copy(
        self,
    ) -> None:
        self.log.down = True
        self.fleet.run(5.0)
        self.restore(3)
        self.log.down = False
        fresh = self.start_alone()
        self.assertEqual(fresh.holder.current.version, 3)
        change = make_change("other", 3, limit_concurrency(99))
        refused = self.make_publisher(fresh).publish(change, RESTORED_SETTLE_S / 2)
        self.assertEqual(
            (refused.outcome, refused.reason),
            (PublishOutcome.REFUSED, RefusalReason.NOT_APPENDED),
        )

    def test_issued_and_withdrawn_keys_stay_so(self) -> None:
        issued = replace(RADIO_KEY, key_id=KeyId("k2"))
        delta = Delta(keys=(issued,), removed_keys=(RADIO_KEY.key_id,))
        publisher = self.make_publisher(self.get_daemon(0))
        published = publisher.publish(make_change("keys", 6, delta), PUBLISH_TIMEOUT_S)
        self.assertIs(published.outcome, PublishOutcome.ACCEPTED)
        self.restore(3)
        self.await_repair()
        for daemon in (self.get_daemon(5), self.start_alone()):
            self.assertEqual(set(daemon.holder.current.keys), {"k2"})

    def test_two_restores_in_a_row_lose_nothing(self) -> None:
        self.restore(3)
        self.fleet.run(1.0)
        self.restore(2)
        self.await_repair()
        self.assertEqual(self.start_alone().holder.current.version, 6)

    def test_offsets_assigned_again_before_any_read_are_read(self) -> None:
        self.log.down = True
        self.fleet.run(5.0)
        self.restore(4)
        self.log.down = False
        self.append_changes(4, 4)
        self.settle(8)

    def test_daemon_that_missed_the_restore_hands_out_no_old_records(self) -> None:
        for daemon in self.get_domain("d0"):
            self.ways[daemon.member.instance].cut = True
        self.restore(4)
        self.append_changes(4, 2)
        self.fleet.run(5.0)
        self.append_changes(6, 1)
        self.assertTrue(self.fleet.run_until(lambda: self.fleet.in_force(7) == 9, 10.0))
        self.settle(7)

    def test_partitioned_domain_that_alone_knows_a_change_brings_it_back(self) -> None:
        self.isolate("d1")
        self.isolate("d2")
        self.append_changes(6, 1)
        self.fleet.run(5.0)
        self.assertEqual(self.fleet.in_force(7), 3)
        self.restore(5)
        self.fleet.cuts.clear()
        for way in self.ways.values():
            way.cut = False
        self.await_repair()
        self.assertEqual(self.read_version(), 7)
        self.assertEqual(self.start_alone().holder.current.version, 7)

    def order(self, active: bool) -> EvacuationOutcome:
        evacuator = self.make_evacuator(self.get_daemon(2))
        return evacuator.order(DOMAIN, active, "ada", PUBLISH_TIMEOUT_S)

    def list_evacuated(self) -> set[frozenset[FailureDomainId]]:
        return {each.holder.current.evacuated for each in self.fleet.daemons.values()}

    def test_confirmed_evacuation_stays_in_force(self) -> None:
        self.assertIs(self.order(True), EvacuationOutcome.IN_FORCE)
        self.settle()
        self.restore(4)
        self.await_repair()
        self.assertEqual(self.list_evacuated(), {frozenset({DOMAIN})})
        self.assertEqual(self.start_alone().holder.current.evacuated, {DOMAIN})

    def test_evacuation_that_is_ended_after_the_restore_stays_ended(self) -> None:
        self.assertIs(self.order(True), EvacuationOutcome.IN_FORCE)
        self.settle()
        for daemon in self.get_domain("d0"):
            self.ways[daemon.member.instance].cut = True
        for other in ("d1", "d2"):
            self.fleet.cut("d0", other)
        self.restore(4)
        self.fleet.run(REPAIR_LIMIT_S)
        evacuator = self.make_evacuator(self.get_daemon(1))
        ended = evacuator.order(DOMAIN, False, "ada", PUBLISH_TIMEOUT_S)
        self.assertIs(ended, EvacuationOutcome.IN_FORCE)
        self.fleet.cuts.clear()
        for way in self.ways.values():
            way.cut = False
        self.await_repair()
        self.assertEqual(self.list_evacuated(), {frozenset()})

    def test_state_that_a_peer_has_filled_is_not_moved_to_a_later_era(self) -> None:
        replica = self.get_daemon(0).follower.replica
        self.assertFalse(replica.begin_era(StoreEra(2)))
        self.assertEqual(replica.head.era, FIRST_ERA)

    def test_late_answer_from_before_the_restore_is_ignored(self) -> None:
        follower = self.get_daemon(0).follower
        before = self.log.read(STREAM, follower.replica.head.next_offset, 10, 1.0)
        self.restore(3)
        self.await_repair()
        head = follower.replica.head
        follower.replica.apply_records(before.unwrap().records, before.unwrap().era)
        self.assertEqual(follower.replica.head, head)
