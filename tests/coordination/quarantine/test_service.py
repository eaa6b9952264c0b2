"""
Test that the owners of a service share what crashed their targets.

The same call may reach each of them from any entry. Guards against owners that learn
of a crash too late or not at all: in a cut, after a restart, or while their target is
down.
"""

import threading
from dataclasses import replace
from random import Random
from unittest import TestCase

from result import Err, Ok, Result

from corianderhold.coordination.quarantine.const import (
    PEER_FAILURES_MAX,
    SYNC_INTERVAL_S,
)
from corianderhold.coordination.quarantine.service import QuarantineService
from corianderhold.ids import (
    CrashId,
    Fingerprint,
    InstanceId,
    ServiceName,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.quarantine.model import NoticeError
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import TargetStatus
from corianderhold.state.quarantine.const import FINGERPRINT_BYTES, QUARANTINE_S
from corianderhold.state.quarantine.model import CrashReport, Suspicion
from corianderhold.state.quarantine.table import QuarantineTable
from tests.common.calls import CATALOGUE, make_member
from tests.common.clock import FakeClock
from tests.common.log import FakeLog
from tests.common.waiting import wait_until

DEADLY = Fingerprint(b"d" * FINGERPRINT_BYTES)
SERVING = TargetStatus(TargetState.SERVING, CATALOGUE, Address("127.0.0.1", 1), "t1")


class Fleet:
    """Connect the services of several owners; `cut` ones get no requests."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.members = tuple(
            make_member(f"o{number}", port=number + 1) for number in range(count)
        )
        self.cut: set[int] = set()
        self.log = FakeLog()
        self.requests: list[tuple[int, bytes]] = []
        self.lock = threading.Lock()
        self.tables: list[QuarantineTable] = []
        self.services: list[QuarantineService] = []
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> None:
        """Start an owner that knows nothing, in place of one with this number."""
        table = QuarantineTable(self.clock)
        service = QuarantineService(
            InstanceId(f"o{number}"),
            table,
            self,
            Client(self, number),
            self.log,
            self.clock,
            Random(number),
            Metrics(),
        )
        service.handle_target(SERVING)
        self.tables[number : number + 1] = [table]
        self.services[number : number + 1] = [service]

    def list_owners(self, service: ServiceName) -> tuple[Member, ...]:
        return self.members

    def find_member(self, instance: InstanceId) -> Member | None:
        raise AssertionError(instance)

    def list_members(self) -> tuple[Member, ...]:
        return self.members

    def find_all(self) -> set[Suspicion]:
        """Return what the owners know of the deadly call."""
        return {table.find(DEADLY) for table in self.tables}


class Client:
    """Carry the requests of one owner."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Pass a request on to the owner with this address."""
        number = address.port - 1
        with self._fleet.lock:
            self._fleet.requests.append((number, body))
        if self._fleet.cut & {number, self._number}:
            return Err(ControlFailure.TIMEOUT)
        sender = ControlSender(InstanceId(f"o{self._number}"))
        return Ok(self._fleet.services[number].handle_control(sender, body))


class ServiceTests(TestCase):
    """Share crashes among six owners."""

    def setUp(self) -> None:
        self.fleet = Fleet(6)
        self.crashes = 0

    def crash(self, number: int, in_trial: bool = False) -> None:
        """Report a crash that one owner has seen."""
        self.crashes += 1
        crash_id = CrashId(self.crashes.to_bytes(12, "big"))
        now = self.fleet.clock.read_monotonic()
        report = CrashReport(crash_id, CATALOGUE, now, (DEADLY,), in_trial)
        self.fleet.services[number].report_crash(report)

    def await_all(self, suspicion: Suspicion) -> None:
        wait_until(
            lambda: self.fleet.find_all() == {suspicion}, f"all owners: {suspicion}"
        )

    def test_all_owners_learn_of_a_crash_at_once(self) -> None:
        self.crash(0)
        self.await_all(Suspicion.SUSPECT)

    def test_crashes_seen_by_three_owners_quarantine_a_call_everywhere(self) -> None:
        for number in (0, 2, 4):
            self.crash(number)
        self.await_all(Suspicion.QUARANTINED)

    def test_quarantine_and_its_end_reach_all_owners(self) -> None:
        self.crash(0, in_trial=True)
        self.await_all(Suspicion.QUARANTINED)
        self.fleet.clock.advance(1)
        self.fleet.services[3].clear(DEADLY, CATALOGUE)
        self.fleet.services[3].send_clearances()
        self.await_all(Suspicion.NONE)

    def test_owner_that_was_cut_off_learns_when_the_cut_heals(self) -> None:
        self.fleet.cut = {5}
        self.crash(0, in_trial=True)
        wait_until(
            lambda: all(
                table.find(DEADLY) is Suspicion.QUARANTINED
                for table in self.fleet.tables[:5]
            ),
            "the others know",
        )
        self.assertIs(self.fleet.tables[5].find(DEADLY), Suspicion.NONE)
        self.fleet.cut = set()
        self.fleet.services[0].synchronize(self.fleet.members[5])
        self.await_all(Suspicion.QUARANTINED)

    def test_restarted_owner_learns_before_its_target_is_compared_again(self) -> None:
        self.crash(0, in_trial=True)
        self.await_all(Suspicion.QUARANTINED)
        self.fleet.add(0)
        self.assertIs(self.fleet.tables[0].find(DEADLY), Suspicion.NONE)
        service = self.fleet.services[0]
        service.start()
        self.addCleanup(service.stop)
        self.await_all(Suspicion.QUARANTINED)

    def test_owner_whose_target_is_down_is_still_told(self) -> None:
        down = make_member("o5", port=6)
        for service in self.fleet.services:
            service.handle_member(down)
        absent = replace(
            self.fleet.members[5], service=None, target_state=TargetState.ABSENT
        )
        self.fleet.members = (*self.fleet.members[:5], absent)
        self.crash(0, in_trial=True)
        self.await_all(Suspicion.QUARANTINED)

    def test_nothing_is_sent_while_nothing_is_known(self) -> None:
        for service in self.fleet.services:
            service.synchronize_if_due()
        self.assertEqual(self.fleet.requests, [])

    def test_owners_that_know_the_same_send_little(self) -> None:
        for number in range(6):
            self.crash(number)
        self.await_all(Suspicion.QUARANTINED)
        for service in self.fleet.services:
            service.synchronize(self.fleet.members[0])
        self.fleet.requests.clear()
        self.assertTrue(self.fleet.services[1].synchronize(self.fleet.members[2]))
        self.assertEqual(len(self.fleet.requests), 1)
        self.assertLess(len(self.fleet.requests[0][1]), 100)

    def test_peer_that_never_replies_is_left_out_for_a_time(self) -> None:
        self.fleet.members = self.fleet.members[:2]
        self.fleet.cut = {1}
        self.crash(0)
        wait_until(lambda: len(self.fleet.requests) == 1, "the crash is sent")
        for _ in range(10):
            self.fleet.services[0].synchronize_if_due()
            self.fleet.clock.advance(2 * SYNC_INTERVAL_S)
        self.assertLessEqual(len(self.fleet.requests), PEER_FAILURES_MAX + 1)

    def test_owners_that_reach_only_the_store_learn_from_the_log(self) -> None:
        self.fleet.cut = {1, 2, 3, 4, 5}
        self.crash(0, in_trial=True)
        self.fleet.services[0].use_log()
        dead = replace(self.fleet.members[0], state=MemberState.DEAD)
        for service in self.fleet.services[1:]:
            service.handle_member(dead)
            service.use_log()
        self.assertEqual(self.fleet.find_all(), {Suspicion.QUARANTINED})

    def test_all_owners_that_restarted_learn_from_the_log(self) -> None:
        self.crash(0, in_trial=True)
        self.fleet.services[0].use_log()
        for number in range(6):
            self.fleet.add(number)
        self.assertEqual(self.fleet.find_all(), {Suspicion.NONE})
        for service in self.fleet.services:
            service.start()
            self.addCleanup(service.stop)
        self.await_all(Suspicion.QUARANTINED)

    def test_released_quarantine_does_not_return_from_the_log(self) -> None:
        self.crash(0, in_trial=True)
        self.fleet.services[0].use_log()
        self.await_all(Suspicion.QUARANTINED)
        self.fleet.clock.advance(1)
        service = self.fleet.services[2]
        (quarantine,) = service.list_quarantines()
        self.assertTrue(service.release(quarantine.fingerprint))
        self.assertFalse(service.release(quarantine.fingerprint))
        service.use_log()
        service.send_clearances()
        self.await_all(Suspicion.NONE)
        self.fleet.add(1)
        self.fleet.clock.advance(1)
        self.fleet.services[1].handle_member(
            replace(self.fleet.members[0], state=MemberState.DEAD)
        )
        self.fleet.services[1].use_log()
        self.assertIs(self.fleet.tables[1].find(DEADLY), Suspicion.NONE)

    def test_quarantine_that_is_over_in_the_log_still_ends_in_a_trial(self) -> None:
        self.crash(0, in_trial=True)
        self.await_all(Suspicion.QUARANTINED)
        self.fleet.services[0].use_log()
        self.fleet.clock.advance(QUARANTINE_S + 1)
        self.fleet.services[1].handle_member(
            replace(self.fleet.members[0], state=MemberState.DEAD)
        )
        self.fleet.services[1].use_log()
        self.assertIs(self.fleet.tables[1].find(DEADLY), Suspicion.SUSPECT)

    def test_quarantine_is_appended_once_the_store_is_back(self) -> None:
        self.fleet.log.down = True
        self.crash(0, in_trial=True)
        self.fleet.services[0].use_log()
        self.fleet.log.down = False
        self.fleet.services[0].use_log()
        self.fleet.add(1)
        self.fleet.services[1].handle_member(
            replace(self.fleet.members[0], state=MemberState.DEAD)
        )
        self.fleet.services[1].use_log()
        self.assertIs(self.fleet.tables[1].find(DEADLY), Suspicion.QUARANTINED)

    def test_odd_records_in_the_log_are_skipped(self) -> None:
        self.crash(0, in_trial=True)
        for text in ("", "{", "[]", "[" * 100_000, '{"until_ms": 1e400}', "NaN"):
            self.fleet.log.append(StreamName.QUARANTINES, text, 1.0)
        self.fleet.services[0].use_log()
        self.fleet.add(1)
        self.fleet.services[1].handle_member(
            replace(self.fleet.members[0], state=MemberState.DEAD)
        )
        self.fleet.services[1].use_log()
        self.assertIs(self.fleet.tables[1].find(DEADLY), Suspicion.QUARANTINED)

    def test_store_is_not_read_while_all_owners_are_reached(self) -> None:
        reads = self.fleet.log.reads
        self.crash(0, in_trial=True)
        self.await_all(Suspicion.QUARANTINED)
        for service in self.fleet.services:
            service.use_log()
        self.assertEqual(self.fleet.log.reads, reads)

    def test_malformed_notice_is_refused(self) -> None:
        sender = ControlSender(InstanceId("o1"))
        with self.assertRaises(NoticeError):
            self.fleet.services[0].handle_control(sender, b"x")
