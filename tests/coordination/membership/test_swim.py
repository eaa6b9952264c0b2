"""
Test failure detection and dissemination on a fake network with faults.

Guards against false deaths, deaths and restarts that do not reach all members,
partitions that do not heal, traffic over the byte budget and forged datagrams.
"""

from dataclasses import replace
from unittest import mock

from corianderhold.coordination.membership.const import (
    BUDGET_BURST_BYTES,
    BUDGET_BYTES_PER_S,
    DATAGRAM_LIMIT_BYTES,
    HEADER_BYTES,
    SUSPICION_MULTIPLIER,
)
from corianderhold.ids import Incarnation, InstanceId, ServiceName
from corianderhold.protocol.membership.authentication import DatagramAuthenticator
from corianderhold.protocol.membership.codec import (
    decode_datagram,
    encode_claim,
    encode_datagram,
    encode_member,
)
from corianderhold.protocol.membership.model import Datagram, DatagramKind
from corianderhold.state.membership.incarnation import START_BITS
from corianderhold.state.membership.model import Address, MemberState, TargetState
from tests.common.membership import (
    SECRET,
    START_S,
    FakeNetwork,
    Node,
    build_fleet,
    build_member,
    count_states,
    find_contact,
    introduce,
)
from tests.common.swim_case import LIMIT_S, STRANGER, SwimTestCase, with_seeds


class SwimTests(SwimTestCase):
    """Lose datagrams, members and links between them."""

    @with_seeds
    def test_members_agree_despite_lossy_network(self, seed: int) -> None:
        network = FakeNetwork(seed)
        network.loss, network.duplication = 0.2, 0.2
        network.latest_delay_s = 0.15
        nodes = build_fleet(network, 12)
        self.run_until(network, lambda: self.agree(nodes, 12), LIMIT_S)
        network.run(60.0)
        for node in nodes:
            self.assertEqual(count_states(node, MemberState.DEAD), 0)

    @with_seeds
    def test_killed_member_is_declared_dead_by_all(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 12)
        victim = nodes.pop()
        network.kill(victim)
        self.run_until_seen(network, nodes, victim, MemberState.DEAD, 30.0)
        self.assertTrue(self.agree(nodes, 11))

    def test_log_event_of_a_death_has_the_time_since_last_heard(self) -> None:
        network, nodes = self.start_fleet(17, 3)
        victim = nodes.pop()
        network.kill(victim)
        with mock.patch(
            "corianderhold.coordination.membership.roster.log_event"
        ) as log:
            self.run_until_seen(network, nodes, victim, MemberState.DEAD, 30.0)
        found = [call.kwargs["heard_age_s"] for call in log.call_args_list]
        # A daemon that knows the victim only from others has never heard from it.
        ages = [age for age in found if age is not None]
        self.assertGreater(max(ages), 0.5)

    def test_broken_link_between_two_members_raises_no_suspicion(self) -> None:
        network, nodes = self.start_fleet(15, 6)
        pair = nodes[1].swim.own.gossip_address, nodes[2].swim.own.gossip_address
        network.blocked.add(frozenset(pair))
        self.check_never(network, nodes, MemberState.SUSPECT, 200, 0.2)

    @with_seeds
    def test_partitioned_members_rejoin_after_healing(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 13)
        network.kill(nodes.pop(0))  # the seed
        near, far = nodes[::2], nodes[1::2]
        network.cut(far)
        self.run_until(
            network, lambda: self.agree(near, 6) and self.agree(far, 6), LIMIT_S
        )
        network.run(60.0)
        network.heal()
        while not self.agree(nodes, 12):
            network.run(0.2)
            self.assertLess(network.now_s, START_S + 400.0)
            self.assertTrue(self.see_alive(near, near) and self.see_alive(far, far))

    def test_claim_of_death_is_verified_first(self) -> None:
        network, nodes = self.start_fleet(12, 6)
        claim = replace(nodes[1].swim.own, state=MemberState.DEAD)
        self.inject(network, nodes[0], encode_member(claim))
        for _ in range(50):
            self.assertEqual(self.show_state(nodes, nodes[1]), {MemberState.ALIVE})
            network.run(0.1)

    def test_outdated_claim_is_corrected_with_the_newer_announcement(self) -> None:
        network, nodes = self.start_fleet(13, 4)
        nodes[1].swim.announce_target(None, TargetState.ABSENT, network.now_s)
        network.flush(nodes[1])
        network.run(5.0)
        newer = nodes[1].swim.own
        claim = replace(newer, sequence=newer.sequence - 1, state=MemberState.SUSPECT)
        self.inject(network, nodes[0], encode_member(claim))
        answers = [
            outgoing.data
            for outgoing in nodes[0].swim.take_outgoing()
            if outgoing.address == STRANGER
        ]
        self.assertEqual(len(answers), 1)
        payload = DatagramAuthenticator(SECRET).verify(answers[0]).unwrap()
        self.assertIn(encode_member(newer), decode_datagram(payload).updates)

    def test_false_suspicion_is_refuted_by_higher_sequence(self) -> None:
        network, nodes = self.start_fleet(5, 6)
        victim = nodes[4]
        before = victim.swim.own
        claim = encode_member(replace(before, state=MemberState.SUSPECT))
        self.inject(network, nodes[0], claim)
        self.assertIn(MemberState.SUSPECT, self.show_state(nodes, victim))
        network.run(SUSPICION_MULTIPLIER * 2)
        self.assertGreater(victim.swim.own.sequence, before.sequence)
        self.assertEqual(self.show_state(nodes, victim), {MemberState.ALIVE})

    def test_claim_about_unknown_announcement_changes_nothing(self) -> None:
        network, nodes = self.start_fleet(14, 4)
        before = nodes[0].swim.view
        for member in (build_member(99), build_member(1, sequence=9)):
            suspect = replace(member, state=MemberState.SUSPECT)
            self.inject(network, nodes[0], claim=encode_claim(suspect))
        self.assertEqual(nodes[0].swim.view, before)

    def test_restart_with_new_incarnation_replaces_older(self) -> None:
        network, nodes = self.start_fleet(6, 6)
        seeds = (nodes[0].swim.own.gossip_address,)
        network.kill(nodes[5])
        nodes[5] = network.add(build_member(5, incarnation=2), seeds)

        def is_replaced() -> bool:
            seen = self.list_seen(nodes, nodes[5])
            return {member.incarnation for member in seen} == {2}

        self.run_until(network, lambda: self.agree(nodes, 6) and is_replaced(), 20.0)

    @with_seeds
    def test_restarts_replace_starts_with_higher_incarnations(self, seed: int) -> None:
        network = FakeNetwork(seed)
        for incarnation in (2**30, 2**20, 2**10):
            nodes = self.start_all(network, incarnation)
        victim, survivors = nodes[5], nodes[:5] + nodes[6:]
        network.kill(victim)
        self.run_until_seen(network, survivors, victim, MemberState.DEAD, 10.0)
        for wait_s in (0.0, 10.0):
            network.run(wait_s)
            self.restart(network, survivors)

    def start_all(self, network: FakeNetwork, incarnation: int) -> list[Node]:
        """Restart all daemons at once."""
        network.nodes.clear()
        members = [build_member(n, incarnation=incarnation) for n in range(24)]
        nodes = [network.add(member, ()) for member in members]
        introduce(network, nodes)
        self.run_until(network, lambda: self.agree(nodes, 24), 3.0)
        return nodes

    def restart(self, network: FakeNetwork, nodes: list[Node]) -> None:
        """Start the sixth daemon and kill it once all nodes see it alive."""
        fresh = network.add(build_member(5, incarnation=1), ())
        contact = find_contact(nodes[0].swim.own)
        fresh.swim.replace_contacts((contact,), network.now_s)
        network.flush(fresh)

        def is_seen() -> bool:
            own = fresh.swim.own
            return all(node.swim.get_member(own.instance) == own for node in nodes)

        self.run_until(network, is_seen, 2.0)
        network.kill(fresh)

    @with_seeds
    def test_targets_announced_at_once_after_a_start_are_known_near(
        self, seed: int
    ) -> None:
        network = FakeNetwork(seed)
        nodes = [network.add(build_member(number), ()) for number in range(60)]
        introduce(network, nodes)
        network.run(3.0)
        for node in nodes:
            node.swim.announce_target(
                ServiceName("rights"), TargetState.SERVING, network.now_s
            )
            network.flush(node)

        def is_known_near() -> bool:
            return all(
                node.swim.get_member(other.swim.own.instance) == other.swim.own
                for node in nodes
                for other in nodes
                if other.swim.own.domain == node.swim.own.domain
            )

        self.run_until(network, is_known_near, 3.0)

    @with_seeds
    def test_isolated_daemon_finds_all_within_two_seconds_of_healing(
        self, seed: int
    ) -> None:
        network, nodes = self.start_fleet(seed, 24)
        network.cut(nodes[:1])
        network.run(20.0)
        network.heal()
        self.run_until(network, lambda: self.agree(nodes, 24), 2.0)

    @with_seeds
    def test_member_stalled_for_half_a_second_stays_alive(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 24)
        network.run(5.0)
        for node in nodes:
            self.pause(network, node, 0.5)
            for _ in range(5):
                network.run(0.1)
                self.assertTrue(self.see_alive(nodes, nodes))

    def test_two_running_starts_of_an_instance_do_not_outbid_each_other(self) -> None:
        network, nodes = self.start_fleet(16, 4)
        double = replace(build_member(3), gossip_address=Address("127.0.0.1", 39999))
        other = network.add(replace(double, incarnation=Incarnation(7)), ())
        introduce(network, nodes)
        other.swim.replace_contacts((find_contact(nodes[0].swim.own),), 0.0)
        network.run(20.0)
        for node in (nodes[3], other):
            self.assertLess(node.swim.own.incarnation >> START_BITS, 20)

    def test_new_instance_at_the_address_replaces_older(self) -> None:
        network, nodes = self.start_fleet(7, 6)
        seeds = (nodes[0].swim.own.gossip_address,)
        old = nodes[5]
        network.kill(old)
        fresh = replace(
            build_member(5), instance=InstanceId("fresh"), incarnation=Incarnation(2)
        )
        nodes[5] = network.add(fresh, seeds)
        known: list[Node] = []
        while len(known) < 6:
            network.run(0.1)
            self.assertLess(network.now_s, START_S + LIMIT_S)
            known = [n for n in nodes if n.swim.get_member(fresh.instance)]
            states = self.show_state(known, old)
            self.assertLessEqual(states, {MemberState.DEAD})
        self.run_until(network, lambda: self.agree(nodes, 6), 10.0)

    @with_seeds
    def test_leave_and_drain_reach_all_within_three_seconds(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 24)
        service = ServiceName("rights")
        nodes[1].swim.announce_target(service, TargetState.SERVING, network.now_s)
        self.run_until(network, lambda: self.count_owners(nodes) == [1] * 24, 10.0)
        nodes[1].swim.announce_target(service, TargetState.DRAINING, network.now_s)
        self.run_until(network, lambda: self.count_owners(nodes) == [0] * 24, 3.0)
        nodes[2].swim.leave(network.now_s)
        self.run_until_seen(network, nodes, nodes[2], MemberState.LEFT, 3.0)

    def count_owners(self, nodes: list[Node]) -> list[int]:
        """Return how many owners of the service each node sees."""
        service = ServiceName("rights")
        return [len(node.swim.view.owners.get(service, ())) for node in nodes]

    def test_bytes_stay_within_budget_under_many_updates(self) -> None:
        network, nodes = self.start_fleet(8, 10)
        victims = nodes[7:]
        for victim in victims:
            network.kill(victim)
        for round_number in range(100):
            for node in nodes[:7]:
                state = (TargetState.SERVING, TargetState.DRAINING)[round_number % 2]
                node.swim.announce_target(ServiceName("rights"), state, network.now_s)
                network.flush(node)
            network.run(0.2)
        for node in nodes[:7]:
            self.check_budget(node.sent)
            counters = node.metrics.read_counters()
            self.assertGreater(counters["membership_datagrams_over_budget"], 0)
        network.run(10.0)
        self.assertTrue(self.agree(nodes[:7], 7))

    def check_budget(self, sent: list[tuple[float, int]]) -> None:
        """Check the bytes between any two datagrams against the budget."""
        sizes = [(at_s, size + HEADER_BYTES) for at_s, size in sent]
        self.assertLessEqual(max(size for _, size in sizes), DATAGRAM_LIMIT_BYTES)
        for first, (start_s, _) in enumerate(sizes):
            total = 0
            for end_s, size in sizes[first:]:
                total += size
                allowed = BUDGET_BURST_BYTES + BUDGET_BYTES_PER_S * (end_s - start_s)
                self.assertLessEqual(total, allowed + 1e-6)

    def test_hostile_datagrams_change_nothing(self) -> None:
        network, nodes = self.start_fleet(9, 4)
        before = nodes[0].swim.view
        claim = encode_member(replace(nodes[1].swim.own, state=MemberState.DEAD))
        gossip = Datagram(
            DatagramKind.GOSSIP, 0, nodes[2].swim.own.instance, updates=(claim,)
        )
        seal = DatagramAuthenticator(SECRET).sign
        genuine = seal(encode_datagram(gossip))
        changed = genuine[:-1] + bytes([genuine[-1] ^ 1])
        foreign = DatagramAuthenticator(b"another fleet").sign(encode_datagram(gossip))
        payload = network.random.randbytes(100)
        hostile = [b"", b"\x01", payload, genuine[:-5], changed, foreign]
        hostile += [seal(payload[:n]) for n in range(1, 100)]
        broken = replace(gossip, updates=(claim[:9], b"", payload))
        hostile.append(seal(encode_datagram(broken)))
        broken = replace(gossip, updates=(), claims=(claim[:9], payload))
        hostile.append(seal(encode_datagram(broken)))
        for data in hostile:
            nodes[0].swim.receive(data, STRANGER, network.now_s)
        self.assertEqual(nodes[0].swim.view, before)
        self.assertEqual(nodes[0].swim.take_outgoing(), [])
        counters = nodes[0].metrics.read_counters()
        rejected = (
            counters["membership_rejected_malformed"]
            + counters["membership_rejected_foreign"]
        )
        self.assertEqual(rejected, len(hostile))
