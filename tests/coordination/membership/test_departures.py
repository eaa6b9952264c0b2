"""
Test that a departure is confirmed only once it would outlive its daemon.

Guards against acknowledgements that only one process knows, and against a start that
believes a heartbeat before it has asked who may know better, or because nobody that
runs can know better.
"""

import threading
from dataclasses import replace
from unittest import TestCase

from result import Err, Ok, Result

from corianderhold.coordination.membership.const import (
    DEPARTURE_ATTEMPTS,
    DEPARTURE_HOLDERS,
    HOLDERS_PER_DISTANCE,
    RECALL_LIMIT_S,
)
from corianderhold.coordination.membership.departures import (
    DepartureKnowledge,
    DepartureReplicator,
)
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import (
    ControlFailure,
    ControlSender,
    ControlTopic,
)
from corianderhold.state.membership.model import Address, Member, MemberState
from corianderhold.state.membership.target import Departure
from tests.common.clock import FakeClock
from tests.common.membership import build_member
from tests.common.waiting import ConditionTimeoutError, wait_until

DOMAIN, OTHER_DOMAIN = FailureDomainId("domain"), FailureDomainId("other")
DEPARTURE = Departure("t1", 5, withdrawn=True)


class Fleet:
    """Connect the replicators of a few daemons; `failures` are of their addresses."""

    def __init__(self, domains: tuple[FailureDomainId, ...]) -> None:
        self.clock = FakeClock()
        self.members = tuple(
            replace(build_member(number), domain=domain)
            for number, domain in enumerate(domains)
        )
        self.failures: dict[Address, ControlFailure] = {}
        self.lock = threading.Lock()
        self.sent: list[Address] = []
        self.recalled: list[Departure] = []
        self.replicators = {
            member.peer_address: self.build(member) for member in self.members
        }

    def build(self, member: Member) -> DepartureReplicator:
        """Build the replicator of a new start of a daemon."""
        return DepartureReplicator(
            member.instance,
            member.domain,
            lambda: self.members,
            Client(self, member.instance),
            self.clock,
            Metrics(),
            self.recalled.append,
            lambda knowledge: None,
        )

    def restart(self, *, is_synchronized: bool = True) -> DepartureReplicator:
        """Replace the first daemon by a new start, and start its replicator."""
        address = self.members[0].peer_address
        self.replicators[address] = replicator = self.build(self.members[0])
        if is_synchronized:
            replicator.record_synchronized()
        replicator.start()
        return replicator

    @property
    def owner(self) -> DepartureReplicator:
        """Return the replicator of the first daemon."""
        return self.replicators[self.members[0].peer_address]


class Client:
    """Deliver the control requests of one daemon."""

    def __init__(self, fleet: Fleet, sender: InstanceId) -> None:
        self._fleet = fleet
        self._sender = ControlSender(sender)

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Call the replicator at an address, or fail."""
        fleet = self._fleet
        with fleet.lock:
            fleet.sent.append(address)
        if address in fleet.failures:
            return Err(fleet.failures[address])
        replicator = fleet.replicators[address]
        return Ok(replicator.handle_control(self._sender, body))


class ConfirmationTests(TestCase):
    """Replicate a departure of the first daemon."""

    def replicate(self, fleet: Fleet, logged: bool | None) -> bool:
        """Return whether a departure is confirmed; `logged` is None if unknown."""
        fleet.owner.replicate(DEPARTURE)
        if logged is not None:
            fleet.owner.record_append(DEPARTURE, succeeded=logged)
        return fleet.owner.await_holders(DEPARTURE)

    def fail_all(self, fleet: Fleet, failure: ControlFailure) -> None:
        for member in fleet.members:
            fleet.failures[member.peer_address] = failure

    def test_departure_that_nobody_else_has_is_not_confirmed(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        self.fail_all(fleet, ControlFailure.UNREACHABLE)
        self.assertFalse(self.replicate(fleet, logged=False))

    def test_peers_of_an_older_build_do_not_confirm(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        self.fail_all(fleet, ControlFailure.REJECTED)
        self.assertFalse(self.replicate(fleet, logged=False))
        self.assertTrue(self.replicate(fleet, logged=True))

    def test_store_alone_confirms_without_peers(self) -> None:
        self.assertTrue(self.replicate(Fleet((DOMAIN,)), logged=True))

    def test_daemon_alone_without_the_store_does_not_confirm(self) -> None:
        self.assertFalse(self.replicate(Fleet((DOMAIN,)), logged=False))

    def test_peers_confirm_while_the_store_is_silent(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        self.assertTrue(self.replicate(fleet, logged=None))

    def test_one_peer_confirms_where_no_other_replies(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        self.fail_all(fleet, ControlFailure.TIMEOUT)
        del fleet.failures[fleet.members[2].peer_address]
        self.assertTrue(self.replicate(fleet, logged=False))

    def test_drain_by_an_operator_is_confirmed_by_the_log_only(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        self.assertTrue(self.replicate(fleet, logged=False))
        self.assertFalse(fleet.owner.await_holders(DEPARTURE, needs_log=True))
        fleet.owner.record_append(DEPARTURE, succeeded=True)
        self.assertTrue(fleet.owner.await_holders(DEPARTURE, needs_log=True))

    def test_departure_is_held_in_two_domains_by_a_few_peers(self) -> None:
        fleet = Fleet((DOMAIN,) * 20 + (OTHER_DOMAIN,) * 20)
        self.assertTrue(self.replicate(fleet, logged=False))
        wait_until(lambda: len(fleet.sent) == 2 * HOLDERS_PER_DISTANCE, "all are told")
        domains = {
            member.domain
            for member in fleet.members
            if member.peer_address in fleet.sent
        }
        self.assertEqual(domains, {DOMAIN, OTHER_DOMAIN})
        self.assertGreaterEqual(len(set(fleet.sent)), DEPARTURE_HOLDERS)

    def test_repeated_departure_is_sent_once_but_again_after_a_failure(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN))
        self.fail_all(fleet, ControlFailure.UNREACHABLE)
        self.assertFalse(self.replicate(fleet, logged=False))
        fleet.failures.clear()
        for _ in range(3):
            self.assertTrue(self.replicate(fleet, logged=None))
        self.assertEqual(len(fleet.sent), DEPARTURE_ATTEMPTS + 1)


class RecallTests(TestCase):
    """Restart the first daemon."""

    def test_departure_is_known_after_a_restart_without_the_store(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        fleet.owner.replicate(DEPARTURE)
        self.assertTrue(fleet.owner.await_holders(DEPARTURE))
        fleet.clock.advance(RECALL_LIMIT_S)
        replicator = fleet.restart()
        self.addCleanup(replicator.stop)
        wait_until(lambda: replicator.is_recalled, "departures are known")
        self.assertIn(DEPARTURE, fleet.recalled)

    def test_shifted_ranks_still_reach_a_holder(self) -> None:
        fleet = Fleet((DOMAIN,) * 20 + (OTHER_DOMAIN,) * 20)
        fleet.owner.replicate(DEPARTURE)
        self.assertTrue(fleet.owner.await_holders(DEPARTURE))
        wait_until(lambda: len(fleet.sent) == 2 * HOLDERS_PER_DISTANCE, "all are told")
        gone = fleet.sent[0]
        fleet.members = tuple(
            replace(member, state=MemberState.DEAD)
            if member.peer_address == gone
            else member
            for member in fleet.members
        )
        fleet.clock.advance(RECALL_LIMIT_S)
        replicator = fleet.restart()
        self.addCleanup(replicator.stop)
        wait_until(lambda: replicator.is_recalled, "departures are known")
        self.assertIn(DEPARTURE, fleet.recalled)

    def test_members_found_first_do_not_answer_for_those_not_known_yet(self) -> None:
        fleet = Fleet((DOMAIN,) * 20 + (OTHER_DOMAIN,) * 20)
        fleet.owner.replicate(DEPARTURE)
        self.assertTrue(fleet.owner.await_holders(DEPARTURE))
        wait_until(lambda: len(fleet.sent) == 2 * HOLDERS_PER_DISTANCE, "all are told")
        everybody, holders = fleet.members, set(fleet.sent)
        fleet.members = tuple(
            member for member in everybody if member.peer_address not in holders
        )[:2]
        fleet.clock.advance(RECALL_LIMIT_S)
        replicator = fleet.restart(is_synchronized=False)
        self.addCleanup(replicator.stop)
        replicator.record_log_read(names_others=True)
        wait_until(lambda: len(fleet.sent) > len(holders), "the first one is asked")
        with self.assertRaises(ConditionTimeoutError):
            wait_until(lambda: replicator.is_recalled, "departures are known", 1.0)
        fleet.members = everybody
        replicator.record_synchronized()
        wait_until(lambda: replicator.is_recalled, "departures are known")
        self.assertIn(DEPARTURE, fleet.recalled)

    def test_peers_that_have_just_started_do_not_answer_for_the_log(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        replicator = fleet.restart()
        self.addCleanup(replicator.stop)
        wait_until(lambda: len(fleet.sent) >= 2, "both are asked")
        self.assertFalse(replicator.is_recalled)
        replicator.record_log_read(names_others=True)
        wait_until(lambda: replicator.is_recalled, "departures are known")

    def test_log_alone_is_not_believed_while_it_names_others(self) -> None:
        fleet = Fleet((DOMAIN,))
        replicator = fleet.restart()
        self.addCleanup(replicator.stop)
        replicator.record_log_read(names_others=True)
        with self.assertRaises(ConditionTimeoutError):
            wait_until(lambda: replicator.is_recalled, "departures are known", 1.0)
        replicator.stop()
        lone = Fleet((DOMAIN,)).restart()
        self.addCleanup(lone.stop)
        lone.record_log_read(names_others=False)
        wait_until(lambda: lone.is_recalled, "departures are known")

    def test_heartbeats_are_believed_after_the_limit(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN))
        fleet.failures[fleet.members[1].peer_address] = ControlFailure.UNREACHABLE
        replicator = fleet.restart()
        self.addCleanup(replicator.stop)
        wait_until(lambda: len(fleet.sent) > 1, "the peer is asked again")
        self.assertFalse(replicator.is_recalled)
        fleet.clock.advance(RECALL_LIMIT_S)
        wait_until(lambda: replicator.is_recalled, "the limit has passed")


class KnowledgeTests(TestCase):
    """Restart the first daemon; what it knows depends on who else was restarted."""

    def restart(self, fleet: Fleet, *, is_first_start: bool = False) -> None:
        self.replicator = fleet.restart()
        self.addCleanup(self.replicator.stop)
        self.replicator.record_log_read(True, is_first_start)

    def expect(self, knowledge: DepartureKnowledge) -> None:
        wait_until(lambda: self.replicator.is_recalled, "departures are known")
        self.assertIs(self.replicator.knowledge, knowledge)

    def replace_peer(self, fleet: Fleet, number: int) -> None:
        member = fleet.members[number]
        fleet.replicators[member.peer_address] = fleet.build(member)

    def test_log_that_was_read_does_not_tell_what_it_lacks(self) -> None:
        self.restart(Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN)))
        self.expect(DepartureKnowledge.PARTIAL)

    def test_peers_that_ran_all_along_rule_out_a_forgotten_departure(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        fleet.clock.advance(RECALL_LIMIT_S)
        self.restart(fleet)
        self.expect(DepartureKnowledge.COMPLETE)

    def test_one_restarted_holder_leaves_a_doubt(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        fleet.clock.advance(RECALL_LIMIT_S)
        self.replace_peer(fleet, 2)
        self.restart(fleet)
        self.expect(DepartureKnowledge.PARTIAL)

    def test_dead_holder_leaves_a_doubt(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN))
        fleet.clock.advance(RECALL_LIMIT_S)
        *others, last = fleet.members
        fleet.members = (*others, replace(last, state=MemberState.DEAD))
        self.restart(fleet)
        self.expect(DepartureKnowledge.PARTIAL)

    def test_peer_that_was_restarted_shortly_before_is_not_settled_later(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN))
        fleet.failures[fleet.members[1].peer_address] = ControlFailure.TIMEOUT
        fleet.clock.advance(RECALL_LIMIT_S / 2)
        self.restart(fleet)
        wait_until(lambda: len(fleet.sent) > 0, "the peer is asked")
        fleet.clock.advance(RECALL_LIMIT_S * 0.75)
        fleet.failures.clear()
        self.expect(DepartureKnowledge.PARTIAL)

    def test_first_start_of_a_fleet_waits_for_nothing(self) -> None:
        self.restart(Fleet((DOMAIN, DOMAIN, OTHER_DOMAIN)), is_first_start=True)
        self.expect(DepartureKnowledge.COMPLETE)

    def test_doubt_ends_once_no_heartbeat_can_be_late(self) -> None:
        fleet = Fleet((DOMAIN, DOMAIN))
        self.restart(fleet)
        self.expect(DepartureKnowledge.PARTIAL)
        fleet.clock.advance(RECALL_LIMIT_S)
        wait_until(
            lambda: self.replicator.knowledge is DepartureKnowledge.EXPIRED,
            "the limit has passed",
        )
