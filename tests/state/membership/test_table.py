"""
Test that the view depends only on the set of announcements.

Gossip delivers announcements repeatedly and in any order; daemons that received the
same ones must agree on which members are live.
"""

from dataclasses import replace
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from corianderhold.ids import Incarnation, ServiceName
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.table import MemberTable
from tests.common.membership import build_member

RIGHTS = ServiceName("rights")

announcements = st.builds(
    lambda member, port, target_state, domain: replace(
        member,
        peer_address=Address("127.0.0.1", port),
        target_state=target_state,
        domain=domain,
    ),
    st.builds(
        build_member,
        st.integers(0, 3),
        st.integers(1, 3),
        st.integers(1, 3),
        st.sampled_from(MemberState),
        service=st.just("rights"),
    ),
    st.integers(1, 3),
    st.sampled_from(TargetState),
    st.sampled_from(["domain-1", "domain-2"]),
)


def build_table(members: list[Member]) -> MemberTable:
    """Return a table with the announcements merged in this order."""
    table = MemberTable()
    for member in members:
        table.merge(member, 0.0)
    return table


def merge_all(members: list[Member]) -> frozenset[Member]:
    """Return the view after merging the announcements in this order."""
    return frozenset(build_table(members).read_view().members)


class MergeTests(TestCase):
    """Check that the merge is commutative, associative and idempotent."""

    @given(st.lists(announcements, max_size=12), st.randoms(use_true_random=False))
    def test_neither_order_nor_repetition_matters(
        self, members: list[Member], random: Random
    ) -> None:
        view = merge_all(members)
        self.assertEqual(view, merge_all(members + members))
        self.assertEqual(view, merge_all(random.sample(members, len(members))))

    @given(st.lists(announcements, max_size=8), st.lists(announcements, max_size=8))
    def test_merging_another_table_gives_the_merge_of_both(
        self, ours: list[Member], theirs: list[Member]
    ) -> None:
        table = build_table(ours)
        for record in build_table(theirs).read_view().records:
            table.merge(record, 0.0)
        merged = frozenset(table.read_view().members)
        self.assertEqual(merged, merge_all(ours + theirs))


class TableTests(TestCase):
    """Check the members and owners in the view."""

    def setUp(self) -> None:
        self.table = MemberTable(retention_s=100.0)

    def list_owners(self) -> tuple[Member, ...]:
        return self.table.read_view().owners.get(RIGHTS, ())

    def merge(self, member: Member) -> None:
        self.table.merge(member, 0.0)

    def test_only_live_members_with_serving_target_are_owners(self) -> None:
        serving = build_member(
            1, target_state=TargetState.SERVING, service="rights", sequence=2
        )
        self.merge(serving)
        self.assertEqual(self.list_owners(), (serving,))
        self.merge(replace(serving, state=MemberState.SUSPECT))
        self.assertEqual(len(self.list_owners()), 1)
        self.merge(replace(serving, state=MemberState.DEAD))
        self.assertEqual(self.list_owners(), ())
        self.merge(replace(serving, sequence=3))
        self.assertEqual(len(self.list_owners()), 1)
        self.merge(replace(serving, sequence=4, target_state=TargetState.DRAINING))
        self.assertEqual(self.list_owners(), ())

    def test_left_member_stays_left_until_a_new_incarnation(self) -> None:
        self.merge(build_member(1, 1, 5, MemberState.LEFT))
        self.merge(build_member(1, 1, 4))
        self.merge(build_member(1, 1, 5, MemberState.DEAD))
        self.assertEqual(self.table.count_live(), 0)
        self.merge(build_member(1, 2, 1))
        self.assertEqual(self.table.count_live(), 1)

    def test_late_announcement_of_replaced_instance_stays_dead(self) -> None:
        fresh = replace(
            build_member(2, incarnation=9), peer_address=build_member(1).peer_address
        )
        self.merge(fresh)
        self.merge(build_member(1, 1, 7))
        replaced = self.table.get_member(build_member(1).instance)
        assert replaced is not None
        self.assertIs(replaced.state, MemberState.DEAD)
        self.merge(replace(build_member(1, 1, 8), incarnation=Incarnation(10)))
        self.assertEqual(self.table.count_live(), 1)

    def test_dead_members_are_evicted_after_the_retention_period(self) -> None:
        dead = build_member(1, state=MemberState.DEAD)
        self.table.merge(dead, 10.0, dead_for_s=40.0)
        self.assertEqual(self.table.evict_expired(69.0), ())
        self.assertEqual(self.table.evict_expired(70.0), (dead,))
        self.assertEqual(self.table.merge(dead, 70.0, dead_for_s=100.0), ())
        self.assertEqual(self.table.read_view().members, ())

    def test_view_is_rebuilt_only_on_change(self) -> None:
        member = build_member(1)
        self.merge(member)
        view = self.table.read_view()
        self.merge(member)
        self.assertIs(self.table.read_view(), view)
