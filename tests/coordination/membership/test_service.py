"""
Test the membership service over loopback sockets.

Guards against members that do not find each other without the log or the seeds, and
against a late heartbeat that puts a departed target back into service after a restart.
"""

import time
from contextlib import suppress
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from unittest import TestCase

from result import Err, Ok, Result

from corianderhold.clock import SystemClock
from corianderhold.coordination.entry.outgoing import TargetRegistrar
from corianderhold.coordination.membership.const import LOG_RECHECK_S
from corianderhold.coordination.membership.errors import (
    AnnouncementTooLargeError,
    DepartureUnconfirmedError,
)
from corianderhold.coordination.membership.service import (
    MembershipService,
    MembershipSettings,
)
from corianderhold.coordination.membership.stream import MemberStream
from corianderhold.coordination.owner.policy import TargetSource
from corianderhold.core import Component
from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
)
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlHandler,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.store.model import StreamName
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberDirectory,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.datagram.endpoint import DatagramEndpoint
from tests.common.log import FakeLog
from tests.common.membership import build_member
from tests.common.waiting import wait_until

RIGHTS = ServiceName("rights")
TARGET = Address("127.0.0.1", 8000)
LOOPBACK = Address("127.0.0.1", 0)


@dataclass
class FakeControl:
    """Deliver control requests of `sender` to the services of this process."""

    services: dict[Address, MembershipService]
    sender: InstanceId
    requests: int = 0

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Call the handler of the service at `address`."""
        self.requests += 1
        service = self.services.get(address)
        if service is None:
            return Err(ControlFailure.UNREACHABLE)
        sender = ControlSender(self.sender)
        if topic is ControlTopic.DEPARTURE:
            return Ok(service.departures.handle_control(sender, body))
        return Ok(service.handle_control(sender, body))


def list_roles(
    service: MembershipService,
) -> tuple[MemberDirectory, Component, ControlHandler, TargetSource, TargetRegistrar]:
    """Return the service as each protocol that it implements, for the type checker."""
    return service, service, service, service, service


class MembershipServiceTests(TestCase):
    """Run a few services in one process."""

    def setUp(self) -> None:
        self.by_address: dict[Address, MembershipService] = {}
        self.controls: list[FakeControl] = []
        self.log = FakeLog()
        self.services: list[MembershipService] = []
        self.starts = 0
        self.addCleanup(self.stop_all)

    def stop_all(self) -> None:
        while self.services:
            self.services.pop().stop()

    def start(
        self, seeds: tuple[Address, ...] = (), instance: str = ""
    ) -> MembershipService:
        """Start one more service, which may be a new start of an instance."""
        self.starts += 1
        number = self.starts - 1 if instance else len(self.services)
        peer = Address("127.0.0.1", 1000 + number)
        settings = MembershipSettings(
            InstanceId(instance or f"daemon-{number}"),
            Incarnation(self.starts),
            FailureDomainId("domain"),
            RegionId("region"),
            peer,
            LOOPBACK,
            seeds,
            b"secret",
        )
        control = FakeControl(self.by_address, settings.instance)
        service = MembershipService(
            settings, SystemClock(), Random(number), self.log, control, Metrics()
        )
        self.by_address[peer] = service
        self.controls.append(control)
        self.services.append(service)
        service.start()
        return service

    def wait_for_both(self, *services: MembershipService) -> None:
        for service in services:
            wait_until(lambda each=service: len(each.list_members()) == 2, "both")  # type: ignore[misc]

    def wait_for_owners(self, service: MembershipService, count: int) -> None:
        wait_until(lambda: len(service.list_owners(RIGHTS)) == count, f"{count} owners")

    def test_target_is_seen_served_drained_and_left(self) -> None:
        first = self.start()
        members, _, _, source, registrar = list_roles(first)
        second = self.start((first.gossip_address,))
        changes: list[Member] = []
        second.add_listener(changes.append)
        registrar.announce_target(TargetAnnouncement(RIGHTS, TARGET))
        self.wait_for_owners(second, 1)
        self.wait_for_owners(first, 1)
        self.assertEqual(len(members.list_members()), 2)
        registrar.drain_target()
        self.assertIs(source.read_target().state, TargetState.DRAINING)
        self.wait_for_owners(second, 0)
        self.services.remove(first)
        first.stop()
        wait_until(
            lambda: any(m.state is MemberState.LEFT for m in second.list_members()),
            "the first has left",
        )
        seen = [member.target_state for member in changes]
        self.assertIn(TargetState.SERVING, seen)
        self.assertIn(TargetState.DRAINING, seen)
        self.assertGreater(sum(control.requests for control in self.controls), 0)

    def test_target_without_heartbeat_expires_everywhere(self) -> None:
        first = self.start()
        second = self.start((first.gossip_address,))
        first.announce_target(TargetAnnouncement(RIGHTS, TARGET))
        self.wait_for_owners(second, 1)
        self.wait_for_owners(second, 0)
        self.assertIs(first.read_target().state, TargetState.ABSENT)

    def test_members_find_each_other_through_the_log_alone(self) -> None:
        first, second = self.start(), self.start()
        self.wait_for_both(first, second)
        records = self.log.read(StreamName.MEMBERS, 0, 10, 1.0)  # type: ignore[arg-type]
        self.assertEqual(len(records.unwrap().records), 2)

    def test_members_join_once_the_log_is_back(self) -> None:
        self.log.down = True
        first, second = self.start(), self.start()
        wait_until(lambda: self.log.reads >= 2, "both have asked")
        self.log.down = False
        self.wait_for_both(first, second)

    def wait_for_settled_fleet(self, first: MembershipService) -> None:
        """Start a second member, so that the log is no longer read often."""
        companion = self.start()
        self.wait_for_both(first, companion)
        self.addCleanup(companion.stop)
        time.sleep(2 * LOG_RECHECK_S)

    def restart_beside(
        self,
        announcements: list[TargetAnnouncement],
        says_leaving: bool = False,
        restored: bool = False,
    ) -> TargetState:
        """
        Withdraw or drain a target, then replace its daemon as after a kill.

        Return the state of the target after the new daemon gets a late heartbeat.
        """
        late = TargetAnnouncement(RIGHTS, TARGET, False, "t1", 5, 1)
        first = self.start()
        if restored:
            self.wait_for_settled_fleet(first)
        wait_until(lambda: first.departures.is_recalled, "the first serves")
        first.announce_target(late)
        for announcement in announcements:
            first.announce_target(announcement)
        if says_leaving:
            first.drain_start(first.read_target())
        elif not announcements:
            first.withdraw_target("t1", 5)
        instance = InstanceId("daemon-0")

        def is_logged() -> bool:
            stream = MemberStream(self.log)
            stream.read()
            return stream.find_departure(instance) is not None

        wait_until(is_logged, "the departure is in the log")
        if restored:
            self.log.restore({StreamName.MEMBERS: 0})
            first.handle_restored_store(self.log.era)
            wait_until(is_logged, "the departure is in the restored log")
        self.services.clear()  # the first one keeps running unnoticed, as after a kill
        self.addCleanup(first.stop)
        reads = self.log.reads
        second = self.start()
        wait_until(lambda: self.log.reads > reads, "the log was read")
        wait_until(lambda: second.departures.is_recalled, "departures are known")
        sequences = count(1)

        def is_corrected() -> bool:
            second.announce_target(replace(late, sequence=next(sequences)))
            return second.read_target().state is not TargetState.SERVING

        wait_until(is_corrected, "late heartbeats are corrected")
        return second.read_target().state

    def test_target_that_left_does_not_serve_again_after_a_restart(self) -> None:
        self.assertIs(self.restart_beside([]), TargetState.ABSENT)

    def test_target_that_drains_does_not_serve_again_after_a_restart(self) -> None:
        draining = TargetAnnouncement(RIGHTS, TARGET, True, "t1", 5, 2)
        self.assertIs(self.restart_beside([draining]), TargetState.DRAINING)

    def test_target_that_said_it_leaves_does_not_serve_again_after_a_restart(
        self,
    ) -> None:
        self.assertIs(self.restart_beside([], says_leaving=True), TargetState.DRAINING)

    def test_departure_is_unconfirmed_while_nobody_else_knows_it(self) -> None:
        self.log.down = True
        first = self.start()
        serving = TargetAnnouncement(RIGHTS, TARGET, False, "t1", 5, 1)
        first.announce_target(serving)
        with self.assertRaises(DepartureUnconfirmedError):
            first.announce_target(replace(serving, draining=True, sequence=2))
        with self.assertRaises(DepartureUnconfirmedError):
            first.drain_target()
        with self.assertRaises(DepartureUnconfirmedError):
            first.withdraw_target("t1", 5)
        self.assertIs(first.read_target().state, TargetState.ABSENT)
        self.log.down = False

        def is_confirmed() -> bool:
            with suppress(DepartureUnconfirmedError):
                first.withdraw_target("t1", 5)
                return True
            return False

        wait_until(is_confirmed, "the log has the departure")

    def test_drain_by_an_operator_is_unconfirmed_while_the_log_is_down(self) -> None:
        first = self.start()
        peer = self.start((first.gossip_address,))
        self.wait_for_both(first, peer)
        first.announce_target(TargetAnnouncement(RIGHTS, TARGET, False, "t1", 5, 1))
        self.wait_for_owners(peer, 1)
        self.log.down = True
        first.drain_target()
        with self.assertRaises(DepartureUnconfirmedError):
            first.drain_for_operator()
        self.assertIs(first.read_target().state, TargetState.DRAINING)
        self.log.down = False

        def is_confirmed() -> bool:
            with suppress(DepartureUnconfirmedError):
                first.drain_for_operator()
                return True
            return False

        wait_until(is_confirmed, "the log has the drain")

    def test_departure_confirmed_without_the_log_is_known_after_a_restart(self) -> None:
        for leave in ("drain", "withdraw"):
            with self.subTest(leave=leave):
                self.stop_all()
                self.log = FakeLog()
                self.check_departure_without_log(leave)

    def check_departure_without_log(self, leave: str) -> None:
        late = TargetAnnouncement(RIGHTS, TARGET, False, "t1", 5, 1)
        first = self.start()
        peer = self.start((first.gossip_address,))
        self.wait_for_both(first, peer)
        first.announce_target(late)
        self.wait_for_owners(peer, 1)
        self.log.down = True
        if leave == "drain":
            first.announce_target(replace(late, draining=True, sequence=2))
        else:
            first.withdraw_target("t1", 5)
        self.services.remove(first)  # keeps running unnoticed, as after a kill
        self.addCleanup(first.stop)
        second = self.start((peer.gossip_address,), instance="daemon-0")
        self.log.down = False
        wait_until(lambda: second.departures.is_recalled, "departures are known")
        second.announce_target(replace(late, sequence=3))
        self.assertIsNot(second.read_target().state, TargetState.SERVING)

    def test_departure_lost_by_the_store_is_known_after_a_restart(self) -> None:
        self.assertIs(self.restart_beside([], restored=True), TargetState.ABSENT)

    def test_members_join_after_the_store_has_lost_all_announcements(self) -> None:
        first = self.start()
        self.wait_for_settled_fleet(first)
        self.log.restore({StreamName.MEMBERS: 0})
        first.handle_restored_store(self.log.era)
        third = self.start()
        wait_until(lambda: len(third.list_members()) == 3, "all")

    def test_announcement_is_appended_once_for_each_restore(self) -> None:
        first = self.start()
        self.wait_for_settled_fleet(first)
        self.log.restore({StreamName.MEMBERS: 0})
        for _ in range(3):
            first.handle_restored_store(self.log.era)
        wait_until(lambda: self.log.find_end(StreamName.MEMBERS) > 0, "announced")
        first.handle_restored_store(self.log.era)
        first.stop()  # appends that it leaves
        self.assertEqual(self.log.find_end(StreamName.MEMBERS), 2)

    def test_new_start_of_a_target_serves_after_a_restart(self) -> None:
        self.restart_beside([])
        again = TargetAnnouncement(RIGHTS, TARGET, False, "t1", 6, 1)
        self.services[-1].announce_target(again)
        state = self.services[-1].read_target().state
        self.assertIs(state, TargetState.SERVING)

    def test_new_start_outranks_the_one_in_the_log(self) -> None:
        earlier = build_member(0, incarnation=2**50)
        earlier = replace(earlier, instance=InstanceId("daemon-0"))
        MemberStream(self.log).append(earlier)
        service = self.start()

        def find_records() -> list[Member]:
            stream = MemberStream(self.log)
            stream.read()
            logged = stream.find_incarnation(InstanceId("daemon-0"))
            own = service.find_member(InstanceId("daemon-0"))
            assert own is not None
            return [own] if logged == own.incarnation else []

        wait_until(lambda: bool(find_records()), "the new start is in the log")
        self.assertGreater(find_records()[0].incarnation, 2**50)

    def test_fleet_of_an_earlier_start_is_known_from_the_log(self) -> None:
        service = self.start()
        self.assertEqual(service.list_logged_members(), ())
        stream = MemberStream(self.log)
        earlier = replace(build_member(0), instance=InstanceId("daemon-1"))
        for member in (earlier, build_member(7), build_member(8)):
            stream.append(member)
        stream.append(build_member(8, sequence=2, state=MemberState.LEFT))
        again = self.start()
        wait_until(lambda: bool(again.list_logged_members()), "the log was read")
        instances = {each.instance for each in again.list_logged_members()}
        self.assertIn(build_member(7).instance, instances)
        self.assertNotIn(build_member(8).instance, instances)

    def test_outage_of_the_log_does_not_keep_members_apart(self) -> None:
        self.log.down = True
        first = self.start()
        second = self.start((first.gossip_address,))
        self.wait_for_both(second)

    def test_hostile_datagrams_do_not_stop_the_service(self) -> None:
        first = self.start()
        attacker = DatagramEndpoint(LOOPBACK)
        self.addCleanup(attacker.close)
        random = Random(1)
        for size in (0, 1, 17, 18, 300, 1500):
            attacker.send(first.gossip_address, random.randbytes(size))
        second = self.start((first.gossip_address,))
        self.wait_for_both(second)

    def test_failing_listener_does_not_stop_the_others(self) -> None:
        def fail(member: Member) -> None:
            raise ValueError(member.instance)

        changes: list[Member] = []
        first = self.start()
        first.add_listener(fail)
        first.add_listener(changes.append)
        self.start((first.gossip_address,))
        self.wait_for_both(first)
        wait_until(lambda: len(changes) > 0, "a change")

    def test_too_long_service_name_is_refused(self) -> None:
        with self.assertRaises(AnnouncementTooLargeError):
            name = ServiceName("x" * 300)
            self.start().announce_target(TargetAnnouncement(name, TARGET))
