"""
Test that all daemons fold evacuations to the same state.

Daemons may miss records that the log no longer retains, or start from a snapshot; a
failure domain must not stay evacuated on some of them only.
"""

from dataclasses import replace
from unittest import TestCase

from corianderhold.ids import FailureDomainId, Offset
from corianderhold.state.configuration.codec import (
    encode_evacuation,
    encode_snapshot,
)
from corianderhold.state.configuration.digest import compute_digest, sum_content
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldState,
    OutcomeKind,
    adopt_snapshot,
    build_snapshot,
    fold,
)
from corianderhold.state.configuration.records import Delta, EvacuationRecord
from tests.common.changes import BASE, fold_all, make_text

WEST, EAST = FailureDomainId("west-a"), FailureDomainId("east-a")
BEGIN_WEST = encode_evacuation(EvacuationRecord(WEST, active=True))
END_WEST = encode_evacuation(EvacuationRecord(WEST, active=False))
BEGIN_EAST = encode_evacuation(EvacuationRecord(EAST, active=True))


def list_evacuated(state: FoldState) -> set[str]:
    """Return the evacuated failure domains of a state."""
    return set(state.configuration.evacuated)


def check_sum(state: FoldState) -> bool:
    """Return whether the incremental sum equals the sum of the content."""
    return state.content_sum == sum_content(state.configuration)


class EvacuationFoldTests(TestCase):
    """Start and end evacuations interleaved with changes and snapshots."""

    def test_begin_and_end(self) -> None:
        first = make_text("c1", 0, BASE)
        state, outcomes = fold_all([first, BEGIN_WEST, BEGIN_EAST, END_WEST])
        self.assertEqual(list_evacuated(state), {EAST})
        self.assertEqual(state.version, 1)
        self.assertTrue(check_sum(state))
        self.assertIs(outcomes[1].kind, OutcomeKind.EVACUATION_BEGUN)
        self.assertIs(outcomes[3].kind, OutcomeKind.EVACUATION_ENDED)

    def test_repeated_records_change_nothing(self) -> None:
        once, _ = fold_all([BEGIN_WEST])
        twice, _ = fold_all([BEGIN_WEST, BEGIN_WEST])
        self.assertEqual(once.digest, twice.digest)
        ended, _ = fold_all([BEGIN_WEST, END_WEST, END_WEST])
        self.assertEqual(ended.digest, INITIAL_STATE.digest)

    def test_change_preserves_evacuations(self) -> None:
        texts = [make_text("c1", 0, BASE), BEGIN_WEST, make_text("c2", 1, Delta())]
        state, _ = fold_all(texts)
        self.assertEqual((state.version, list_evacuated(state)), (2, {WEST}))
        self.assertTrue(check_sum(state))

    def test_record_after_a_gap_is_not_folded(self) -> None:
        state, outcome = fold(INITIAL_STATE, Offset(3), BEGIN_WEST)
        self.assertIs(outcome.kind, OutcomeKind.AFTER_GAP)
        self.assertEqual(state, INITIAL_STATE)

    def test_snapshot_of_a_later_state_replaces_evacuations(self) -> None:
        texts = [make_text("c1", 0, BASE), BEGIN_WEST]
        behind, _ = fold_all(texts)
        ahead, _ = fold_all([*texts, BEGIN_EAST, END_WEST])
        state, outcome = adopt_snapshot(behind, build_snapshot(ahead))
        self.assertIs(outcome.kind, OutcomeKind.SNAPSHOT_ADOPTED)
        self.assertEqual(list_evacuated(state), {EAST})
        state, outcome = adopt_snapshot(ahead, build_snapshot(behind))
        self.assertIs(outcome.kind, OutcomeKind.SNAPSHOT_STALE)
        self.assertEqual(list_evacuated(state), {EAST})

    def test_snapshot_that_keeps_evacuations_preserves_them(self) -> None:
        behind, _ = fold_all([make_text("c1", 0, BASE), BEGIN_WEST])
        ahead, _ = fold_all([make_text("c2", 1, Delta())], behind)
        bare = replace(ahead.configuration, evacuated=frozenset())
        snapshot = replace(
            build_snapshot(ahead),
            configuration=bare,
            digest=compute_digest(bare, sum_content(bare)),
            folded_to=Offset(1),
            keeps_evacuations=True,
        )
        state, outcome = fold(behind, Offset(2), encode_snapshot(snapshot))
        self.assertIs(outcome.kind, OutcomeKind.SNAPSHOT_ADOPTED)
        self.assertEqual((state.version, list_evacuated(state)), (2, {WEST}))
        self.assertTrue(check_sum(state))

    def test_snapshot_in_the_log_ends_an_evacuation_whose_end_was_missed(self) -> None:
        known, _ = fold_all([make_text("c1", 0, BASE), BEGIN_WEST])
        ended = replace(known.configuration, evacuated=frozenset())
        snapshot = replace(
            build_snapshot(known),
            configuration=ended,
            digest=compute_digest(ended, sum_content(ended)),
        )
        state, _ = fold(known, Offset(2), encode_snapshot(snapshot))
        self.assertEqual(list_evacuated(state), set())
        self.assertTrue(check_sum(state))

    def test_different_content_of_the_same_version_is_a_divergence(self) -> None:
        one, _ = fold_all([make_text("c1", 0, BASE)])
        other, _ = fold_all([make_text("c1", 0, Delta()), BEGIN_WEST])
        _, outcome = adopt_snapshot(one, build_snapshot(other))
        self.assertIs(outcome.kind, OutcomeKind.SNAPSHOT_DIVERGED)
