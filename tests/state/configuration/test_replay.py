"""
Test that the state does not depend on how a daemon reads the stream.

Daemons replay the whole stream, start from a snapshot or skip records that are no
longer retained; all of them must reach the same state.
"""

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhold.ids import Offset
from corianderhold.state.configuration.codec import encode_snapshot
from corianderhold.state.configuration.digest import sum_content
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldState,
    OutcomeKind,
    adopt_snapshot,
    build_snapshot,
    fold,
)
from tests.common.changes import BASE, draw_deltas, fold_all, make_text
from tests.common.properties import SAME_EXAMPLES


@st.composite
def draw_streams(draw: st.DrawFn) -> list[str]:
    """Return a stream of changes, duplicates, invalid records and snapshots."""
    texts = [make_text("base", 0, BASE)]
    state, _ = fold_all(texts)
    for index in range(draw(st.integers(0, 12))):
        kind = draw(st.sampled_from(["change"] * 4 + ["repeat", "noise", "snapshot"]))
        if kind == "change":
            base = max(0, state.version + draw(st.sampled_from([0, 0, 0, -1, 1])))
            text = make_text(f"c{index}", base, draw(draw_deltas()))
        elif kind == "repeat":
            text = draw(st.sampled_from(texts))
        elif kind == "noise":
            text = "noise"
        else:
            folded = draw(st.integers(0, len(texts)))
            past, _ = fold_all(texts[:folded])
            text = encode_snapshot(build_snapshot(past))
        texts.append(text)
        state, _ = fold_all([text], state)
    return texts


class ReplayTest(unittest.TestCase):
    """Compare states after replaying generated streams in different ways."""

    @settings(SAME_EXAMPLES, max_examples=60)
    @given(draw_streams(), st.data())
    def test_snapshot_and_tail_equal_the_whole_stream(
        self, texts: list[str], data: st.DataObject
    ) -> None:
        whole, outcomes = fold_all(texts)
        count = data.draw(st.integers(0, len(texts)))
        part, _ = fold_all(texts[:count])
        fresh, outcome = adopt_snapshot(INITIAL_STATE, build_snapshot(part))
        if count == 0:
            self.assertEqual(outcome.kind, OutcomeKind.SNAPSHOT_STALE)
        tailed, _ = fold_all(texts[fresh.next_offset :], fresh)
        self.assertEqual(tailed, whole)
        versions = [each.version for each in outcomes]
        steps = [b - a for a, b in zip(versions, versions[1:], strict=False)]
        self.assertTrue(all(step in (0, 1) for step in steps))
        self.assertEqual(whole.content_sum, sum_content(whole.configuration))

    @settings(SAME_EXAMPLES, max_examples=60)
    @given(draw_streams())
    def test_repeats_change_nothing_when_hardly_any_is_remembered(
        self, texts: list[str]
    ) -> None:
        with patch("corianderhold.state.configuration.fold.RECENT_CHANGES_MAX", 1):
            whole, outcomes = fold_all(texts)
            for text, outcome in zip(texts, outcomes, strict=True):
                if outcome.kind is not OutcomeKind.BASE_AHEAD:
                    repeated, _ = fold_all([text], whole)
                    self.assertEqual(repeated.configuration, whole.configuration)

    @settings(SAME_EXAMPLES, max_examples=60)
    @given(draw_streams(), st.data())
    def test_lagging_daemon_never_leaves_the_history(
        self, texts: list[str], data: st.DataObject
    ) -> None:
        """Skip records as retention does; read on where the state says."""
        history: dict[int, FoldState] = {}
        state = INITIAL_STATE
        for text in texts:
            state, _ = fold_all([text], state)
            history[state.version] = state
        lag = data.draw(st.integers(0, len(texts)))
        first = data.draw(st.integers(lag, len(texts)))
        lagging, _ = fold_all(texts[:lag])
        offset = first
        while offset < len(texts):
            before = (lagging.version, lagging.next_offset)
            lagging, outcome = fold(lagging, Offset(offset), texts[offset])
            offset += 1
            if outcome.kind is OutcomeKind.SNAPSHOT_ADOPTED:
                self.assertGreater((lagging.version, lagging.next_offset), before)
                offset = max(first, lagging.next_offset)
            known = history.get(lagging.version, INITIAL_STATE)
            self.assertEqual(lagging.digest, known.digest)
