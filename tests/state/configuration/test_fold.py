"""
Test that the fold is deterministic and that versions never decrease.

Operators publish concurrently, records repeat or arrive damaged, and daemons lag behind
the retention of the log; no such record may stop the fold or make daemons diverge.
"""

import json
import unittest
from dataclasses import replace
from typing import Any
from zlib import crc32

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhold.ids import KeyId, Offset, OrganisationId, ServiceName
from corianderhold.state.configuration.codec import (
    encode_change,
    encode_snapshot,
)
from corianderhold.state.configuration.const import RECENT_CHANGES_MAX
from corianderhold.state.configuration.digest import sum_content
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    OutcomeKind,
    adopt_snapshot,
    build_snapshot,
    fold,
)
from corianderhold.state.configuration.records import Delta
from tests.common.changes import (
    BASE,
    CATALOGUE,
    RADIO,
    RADIO_KEY,
    SEARCH,
    fold_all,
    make_change,
    make_text,
)
from tests.common.properties import SAME_EXAMPLES

GRANT = Delta(keys=(replace(RADIO_KEY, key_id=KeyId("k2")),))
WITHDRAW = Delta(keys=(replace(RADIO_KEY, withdrawn=True),))


class RaceTest(unittest.TestCase):
    """Check changes that conflict, repeat or contain dangling references."""

    def test_first_of_three_conflicting_changes_is_accepted(self) -> None:
        state, outcomes = fold_all(
            [
                make_text("c1", 0, BASE),
                make_text("c2", 1, GRANT, "bob"),
                make_text("c3", 1, WITHDRAW, "cyd"),
                make_text("c4", 1, WITHDRAW, "dan"),
                make_text("c5", 2, WITHDRAW, "cyd"),
            ]
        )
        kinds = [each.kind for each in outcomes]
        lost = OutcomeKind.LOST_RACE
        accepted = OutcomeKind.ACCEPTED
        self.assertEqual(kinds, [accepted, accepted, lost, lost, accepted])
        for loser in outcomes[2:4]:
            assert loser.earlier is not None
            self.assertEqual(loser.earlier.author, "bob")
            self.assertEqual((loser.earlier.version, loser.version), (2, 2))
        self.assertEqual(state.version, 3)
        self.assertTrue(state.configuration.keys[KeyId("k1")].withdrawn)

    def test_duplicate_reports_the_original_change(self) -> None:
        text = make_text("c1", 0, BASE)
        state, outcomes = fold_all([text, text])
        self.assertEqual(outcomes[1].kind, OutcomeKind.DUPLICATE)
        assert outcomes[1].earlier is not None
        self.assertEqual(outcomes[1].earlier.version, 1)
        self.assertEqual(state.version, 1)

    def test_duplicate_of_an_evicted_change_has_no_effect(self) -> None:
        text = make_text("c0", 0, BASE)
        flips = [
            make_text(f"f{index}", index, WITHDRAW if index % 2 else GRANT)
            for index in range(1, RECENT_CHANGES_MAX + 2)
        ]
        before, _ = fold_all([text, *flips])
        after, outcomes = fold_all([text, flips[0]], before)
        self.assertEqual(len(after.recent_changes), RECENT_CHANGES_MAX)
        self.assertEqual([each.kind for each in outcomes], [OutcomeKind.LOST_RACE] * 2)
        self.assertEqual(after.configuration, before.configuration)

    def test_change_refused_for_its_base_is_not_accepted_when_repeated(self) -> None:
        early = make_text("early", 1, GRANT)
        state, outcomes = fold_all([early, make_text("c1", 0, BASE), early])
        self.assertEqual(outcomes[0].kind, OutcomeKind.BASE_AHEAD)
        self.assertEqual(outcomes[2].kind, OutcomeKind.DUPLICATE)
        self.assertEqual(state.version, 1)

    def test_dangling_references_are_refused_with_all_faults(self) -> None:
        state, _ = fold_all([make_text("c1", 0, BASE)])
        removal = Delta(
            removed_services=(ServiceName("catalogue"),),
            removed_organisations=(OrganisationId("radio"),),
        )
        after, outcomes = fold_all([make_text("c2", 1, removal)], state)
        self.assertEqual(outcomes[0].kind, OutcomeKind.REFUSED)
        faults = {(each.name, each.option) for each in outcomes[0].faults}
        self.assertEqual(faults, {("search", "service"), ("k1", "organisation")})
        self.assertEqual(after.configuration, state.configuration)

    def test_missing_and_repeated_entities_are_refused(self) -> None:
        for delta in (
            Delta(removed_keys=(KeyId("gone"),)),
            Delta(keys=(RADIO_KEY,), removed_keys=(RADIO_KEY.key_id,)),
            Delta(services=(CATALOGUE, CATALOGUE)),
        ):
            texts = [make_text("c1", 0, BASE), make_text("c2", 1, delta)]
            _, outcomes = fold_all(texts)
            self.assertEqual(outcomes[1].kind, OutcomeKind.REFUSED, delta)


def add_checksum(text: str) -> str:
    """Return a text prefixed with its checksum."""
    return f"{crc32(text.encode()):08x} {text}"


class CorruptRecordTest(unittest.TestCase):
    """Check that no text stops the fold."""

    def test_broken_records_are_skipped_and_reported(self) -> None:
        text_with_checksum = make_text("c1", 0, BASE)
        good = json.loads(text_with_checksum.partition(" ")[2])
        bodies = [
            {},
            {**good["body"], "base_version": True},
            {**good["body"], "made_at": 10**400},
            {**good["body"], "made_at": float("nan")},
            {**good["body"], "author": "a\nb"},
        ]
        broken = [
            "",
            "{",
            "\ud800",
            text_with_checksum.replace("radio", "ratio"),
            add_checksum("[" * 100_000),
            *(add_checksum(json.dumps({**good, "body": body})) for body in bodies),
        ]
        for text in broken:
            state, outcomes = fold_all([text, make_text("c1", 0, BASE)])
            self.assertEqual(outcomes[0].kind, OutcomeKind.CORRUPT, text[:60])
            self.assertTrue(outcomes[0].detail)
            self.assertEqual((state.version, state.next_offset), (1, 2))

    def test_later_formats_and_kinds_are_skipped(self) -> None:
        good = json.loads(make_text("c1", 0, BASE).partition(" ")[2])
        for later in ({**good, "format": 2, "more": 1}, {**good, "kind": "other"}):
            _, outcomes = fold_all([add_checksum(json.dumps(later))])
            self.assertEqual(outcomes[0].kind, OutcomeKind.UNKNOWN_FORMAT)

    @SAME_EXAMPLES
    @given(st.text() | st.binary().map(lambda each: each.decode("latin-1")))
    def test_any_text_is_skipped(self, text: str) -> None:
        state, outcomes = fold_all(
            [text, add_checksum(text)] if text.isascii() else [text]
        )
        self.assertEqual(state.version, 0)
        for outcome in outcomes:
            self.assertEqual(outcome.kind, OutcomeKind.CORRUPT)


REMOVALS = replace(
    BASE,
    keys=(replace(RADIO_KEY, expires_at=2e9),),
    routes=(replace(SEARCH, organisations=frozenset({RADIO.name})),),
)
STATE, _ = fold_all([make_text("c1", 0, BASE)])
TEXTS = (
    encode_snapshot(build_snapshot(STATE)),
    make_text("c2", 1, REMOVALS),
    make_text("c2", 1, replace(BASE, removed_keys=(KeyId("k1"),))),
)
JSON_TEXTS = (
    f'null true 0 -1 0.5 1e308 {2**70} {10**30} "" "radio" "x/y" "\\u0000"'
    ' [] ["a"] [[]] [null] {} {"name":null} {"":1}'
).split()


def list_places(value: Any) -> list[tuple[Any, Any]]:  # noqa: ANN401
    """Return all (container, key or index) pairs of a JSON value."""
    places: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        places = [(value, key) for key in value]
    elif isinstance(value, list):
        places = [(value, index) for index in range(len(value))]
    return places + [
        place for holder, key in tuple(places) for place in list_places(holder[key])
    ]


@st.composite
def draw_distorted(draw: st.DrawFn) -> str:
    """Modify a record in one to three places and update its checksum."""
    record = json.loads(draw(st.sampled_from(TEXTS)).partition(" ")[2])
    for _ in range(draw(st.sampled_from([1, 1, 2, 3]))):
        if not (places := list_places(record)):
            break
        holder, key = draw(st.sampled_from(places))
        if draw(st.booleans()):
            del holder[key]
        else:
            holder[key] = json.loads(draw(st.sampled_from(JSON_TEXTS)))
    return add_checksum(json.dumps(record))


class DistortedRecordTest(unittest.TestCase):
    """Check records with a valid checksum and invalid content."""

    @settings(SAME_EXAMPLES, max_examples=800)
    @given(draw_distorted())
    def test_no_distortion_stops_the_fold(self, text: str) -> None:
        for start, offset in ((INITIAL_STATE, 0), (INITIAL_STATE, 7), (STATE, 1)):
            folded, outcome = fold(start, Offset(offset), text)
            self.assertGreaterEqual(folded.version, start.version, outcome)
            self.assertEqual(folded.content_sum, sum_content(folded.configuration))
            good = make_text("next", folded.version, BASE)
            after, _ = fold(folded, folded.next_offset, good)
            self.assertGreaterEqual(after.version, folded.version)

    def test_entity_without_one_of_its_fields_is_corrupt(self) -> None:
        record = json.loads(make_text("c1", 0, BASE).partition(" ")[2])
        for kind, entities in record["body"]["set"].items():
            for name in tuple(entities[0]):
                value = entities[0].pop(name)
                _, outcomes = fold_all([add_checksum(json.dumps(record))])
                self.assertEqual(outcomes[0].kind, OutcomeKind.CORRUPT, (kind, name))
                entities[0][name] = value


class SnapshotTest(unittest.TestCase):
    """Check snapshots that are stale, newer, damaged or delayed."""

    def setUp(self) -> None:
        """Create a stream of three changes."""
        self.texts = [
            make_text("c1", 0, BASE),
            make_text("c2", 1, GRANT),
            make_text("c3", 2, WITHDRAW),
        ]
        self.state, _ = fold_all(self.texts)

    def snapshot_at(self, count: int) -> str:
        """Return a snapshot of the first `count` records."""
        state, _ = fold_all(self.texts[:count])
        return encode_snapshot(build_snapshot(state))

    def test_stale_snapshot_of_a_paused_writer_is_ignored(self) -> None:
        after, outcomes = fold_all([self.snapshot_at(1)], self.state)
        self.assertEqual(outcomes[0].kind, OutcomeKind.SNAPSHOT_STALE)
        self.assertEqual(after, replace(self.state, next_offset=Offset(4)))

    def test_daemon_that_lags_past_retention_adopts_a_snapshot(self) -> None:
        lagging, _ = fold_all(self.texts[:1])
        snapshot = self.snapshot_at(2)
        change = self.texts[2]
        skipped, outcome = fold(lagging, Offset(2), change)
        self.assertEqual(outcome.kind, OutcomeKind.AFTER_GAP)
        self.assertEqual(skipped, lagging)
        adopted, outcome = fold(skipped, Offset(3), snapshot)
        self.assertEqual(outcome.kind, OutcomeKind.SNAPSHOT_ADOPTED)
        self.assertEqual((adopted.version, adopted.next_offset), (2, 2))
        caught_up, _ = fold_all([change, snapshot], adopted)
        self.assertEqual(caught_up, replace(self.state, next_offset=Offset(4)))

    def test_conflicting_change_after_a_gap_is_not_accepted(self) -> None:
        lagging, _ = fold_all(self.texts[:1])
        loser = make_text("loser", 1, WITHDRAW)
        state, outcome = fold(lagging, Offset(2), loser)
        self.assertEqual(outcome.kind, OutcomeKind.AFTER_GAP)
        self.assertEqual(state.version, 1)

    def test_damaged_snapshot_is_skipped(self) -> None:
        snapshot = build_snapshot(self.state)
        keys = {KeyId("k1"): RADIO_KEY}
        changed = replace(snapshot.configuration, keys=keys)
        damaged = replace(snapshot, configuration=changed)
        state, outcome = fold(INITIAL_STATE, Offset(9), encode_snapshot(damaged))
        self.assertEqual((state, outcome.kind), (INITIAL_STATE, OutcomeKind.CORRUPT))
        ahead = encode_snapshot(replace(snapshot, folded_to=Offset(9)))
        state, outcome = fold(INITIAL_STATE, Offset(9), ahead)
        self.assertEqual((state, outcome.kind), (INITIAL_STATE, OutcomeKind.CORRUPT))

    def test_different_content_of_the_same_version_is_reported(self) -> None:
        other, _ = fold_all(
            [*self.texts[:2], make_text("c9", 2, Delta(keys=(RADIO_KEY,)))]
        )
        after, outcome = adopt_snapshot(self.state, build_snapshot(other))
        self.assertEqual(outcome.kind, OutcomeKind.SNAPSHOT_DIVERGED)
        self.assertIs(after, self.state)

    def test_snapshot_of_a_peer_repairs_a_missed_change(self) -> None:
        missed, _ = fold_all([self.texts[0], "damaged on the way", self.texts[2]])
        self.assertEqual(missed.version, 1)
        repaired, outcome = adopt_snapshot(missed, build_snapshot(self.state))
        self.assertEqual(outcome.kind, OutcomeKind.SNAPSHOT_ADOPTED)
        self.assertEqual(repaired, self.state)


class CodecTest(unittest.TestCase):
    """Check the size of records."""

    def test_key_grant_is_small(self) -> None:
        text = encode_change(make_change("c" * 26, 123_456, GRANT))
        self.assertLess(len(text), 512)
