"""
Test how daemons claim, keep and hand over the leases of their domain.

Log outages, lost append responses, truncated history and crashes of the holder must
neither leave a shard without a holder for long nor let two daemons act for it.
"""

from corianderhold.coordination.lease.const import (
    NEWCOMER_WAIT_S,
    PROMISED_READ_INTERVAL_S,
    RESEND_INTERVAL_S,
    UNREAD_LIMIT_S,
)
from corianderhold.coordination.lease.manager import LeaseManager
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.lease.codec import (
    PromiseMessageError,
    decode_reply,
    encode_request,
)
from corianderhold.protocol.lease.model import PromiseAsk, PromiseRequest
from corianderhold.protocol.peer.control import ControlSender
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.lease.model import LeaseHolder
from tests.common.quiet import QuietTestCase
from tests.common.rate_fleet import Node, NodeControl, RateFleet

ARCHIVE = OrganisationId("archive")
DOMAIN = FailureDomainId("domain")
SHARD = name_shard(DOMAIN, ARCHIVE)
SENDER = ControlSender(InstanceId("sender"))


class LeaseManagerTests(QuietTestCase):
    """Check claims, outages, appends in doubt and lost history."""

    def setUp(self) -> None:
        self.fleet = RateFleet([], [DOMAIN], 4, 1)

    def find_acting(self) -> list[Node]:
        nodes = self.fleet.list_live(DOMAIN)
        return [n for n in nodes if n.manager.find_tenure(SHARD) is not None]

    def find_holder(self) -> Node:
        acting = self.find_acting()
        self.assertEqual(len(acting), 1)
        return acting[0]

    def count_records(self) -> int:
        page = self.fleet.log.read(StreamName.LEASES, 0, 1000, 1.0)  # type: ignore[arg-type]
        return len(page.unwrap().records)

    def test_daemon_without_shards_reads_nothing(self) -> None:
        node = self.fleet.nodes[0]
        clock, log = self.fleet.clock, self.fleet.log
        control = NodeControl(self.fleet.network, node.name, DOMAIN)
        holder = LeaseHolder(node.name, Incarnation(1))
        manager = LeaseManager(holder, {}, clock, log, control, self.fleet.members)
        manager.start()
        self.assertFalse(manager._thread.is_alive())
        manager.step()
        manager.stop()
        self.assertEqual(log.reads, 0)
        self.assertIsNone(manager.find_tenure(SHARD))

    def test_one_daemon_becomes_and_stays_the_holder(self) -> None:
        self.fleet.run(5)
        holder = self.find_holder()
        records = self.count_records()
        self.fleet.run(60)
        self.assertIs(self.find_holder(), holder)
        self.assertEqual(self.count_records(), records)

    def test_idle_lease_costs_few_reads(self) -> None:
        self.fleet.run(10)
        before = self.fleet.log.reads
        self.fleet.run(90)
        candidates = 3 * len(self.fleet.nodes[0].manager._shard_leases)
        most = candidates * (90 / PROMISED_READ_INTERVAL_S + 1)
        self.assertLessEqual(self.fleet.log.reads - before, most)

    def test_holder_outlasts_an_outage_up_to_the_limit(self) -> None:
        self.fleet.run(5)
        holder = self.find_holder()
        self.fleet.log.down = True
        self.fleet.run(UNREAD_LIMIT_S - 20)
        self.assertIs(self.find_holder(), holder)
        self.fleet.run(40)
        self.assertEqual(self.find_acting(), [])
        self.fleet.log.down = False
        self.fleet.run(10)
        self.find_holder()

    def test_killed_holder_is_replaced_by_a_successor(self) -> None:
        self.fleet.run(5)
        holder = self.find_holder()
        self.fleet.kill(holder)
        self.fleet.run(15)
        self.assertIsNot(self.find_holder(), holder)

    def test_lost_append_responses_are_resolved_soon(self) -> None:
        self.fleet.log.lose_append_answers = True
        self.fleet.run(5)
        holder = self.find_holder()
        self.fleet.kill(holder)
        self.fleet.run(15 + 2 * RESEND_INTERVAL_S)
        self.assertIsNot(self.find_holder(), holder)

    def test_daemon_that_missed_records_gives_up_its_lease(self) -> None:
        self.fleet.run(5)
        holder = self.find_holder()
        for number in range(5):
            self.fleet.log.append(StreamName.LEASES, f"record {number}", 1.0)
        self.fleet.log.truncate(StreamName.LEASES, 1000)
        self.fleet.run(PROMISED_READ_INTERVAL_S + 3)
        self.assertNotIn(holder, self.find_acting())

    def test_truncated_log_is_claimed_only_after_the_newcomer_wait(self) -> None:
        fleet = RateFleet([], [DOMAIN], 1, 1)
        fleet.log.append(StreamName.LEASES, "old", 1.0)
        fleet.log.truncate(StreamName.LEASES, 1)
        fleet.run(NEWCOMER_WAIT_S - 5)
        node = fleet.nodes[0]
        self.assertIsNone(node.manager.find_tenure(SHARD))
        fleet.run(10)
        self.assertIsNotNone(node.manager.find_tenure(SHARD))

    def test_holder_gives_no_promise(self) -> None:
        self.fleet.run(5)
        request = encode_request(PromiseRequest((PromiseAsk(SHARD, 99),)))
        body = self.find_holder().manager.handle_control(SENDER, request)
        self.assertEqual(decode_reply(body).promised, ())

    def test_malformed_message_is_refused(self) -> None:
        body = self.fleet.nodes[0].manager.handle_control(SENDER, b"\x00\x01garbage")
        self.assertEqual(decode_reply(body).promised, ())
        with self.assertRaises(PromiseMessageError):
            decode_reply(b"\x0f\x00")

    def test_threads_start_and_stop(self) -> None:
        node = self.fleet.nodes[0]
        components = (node.manager, node.steward, node.loans)
        for component in components:
            component.start()
        for component in components:
            component.stop()
        self.assertIsNone(node.manager.find_tenure(SHARD))
