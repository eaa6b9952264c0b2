"""Test that no record of the log stops a daemon."""

import json
from dataclasses import replace
from typing import Any
from unittest import TestCase
from zlib import crc32

from hypothesis import given, settings
from hypothesis.strategies import DrawFn, composite, integers, sampled_from

from corianderhold.ids import ChangeId, Offset
from corianderhold.state.configuration.codec import encode_change, encode_snapshot
from corianderhold.state.configuration.fold import INITIAL_STATE, build_snapshot, fold
from tests.common.changes import BASE, RADIO, RADIO_KEY, SEARCH, fold_all, make_change

STATE, _ = fold_all([encode_change(make_change("c1", 0, BASE))])
REMOVALS = replace(
    BASE,
    keys=(replace(RADIO_KEY, expires_at=2e9),),
    organisations=(RADIO,),
    routes=(replace(SEARCH, organisations=frozenset({RADIO.name})),),
)
TEXTS = (
    encode_change(make_change("c2", 1, REMOVALS)),
    encode_snapshot(build_snapshot(STATE)),
)
REPLACEMENTS: tuple[Any, ...] = (
    None,
    True,
    0,
    -1,
    1e308,
    2**70,
    "",
    "radio",
    "\x00",
    [],
    {},
    [[]],
    [None],
    {"name": None},
    {"": 1},
)


def list_places(value: Any) -> list[tuple[Any, Any]]:  # noqa: ANN401
    """Return every container of a JSON value with each of its keys."""
    keys: list[Any] = []
    if isinstance(value, dict):
        keys = list(value)
    elif isinstance(value, list):
        keys = list(range(len(value)))
    places = [(value, key) for key in keys]
    for key in keys:
        places += list_places(value[key])
    return places


def seal(value: object) -> str:
    """Return the text of a record that is whole, whatever it holds."""
    text = json.dumps(value)
    return f"{crc32(text.encode()):08x} {text}"


@composite
def draw_records(draw: DrawFn) -> str:
    """Damage a record in one to three places and seal it."""
    value = json.loads(draw(sampled_from(TEXTS)).partition(" ")[2])
    for _ in range(draw(integers(1, 3))):
        container, key = draw(sampled_from(list_places(value)))
        if draw(integers(0, 2)) == 0:
            del container[key]
        else:
            container[key] = draw(sampled_from(REPLACEMENTS))
        if not list_places(value):
            break
    return seal(value)


class CorruptionTests(TestCase):
    """Fold damaged records that are sealed as whole ones."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(draw_records())
    def test_damaged_record_is_folded_without_an_error(self, text: str) -> None:
        for state in (STATE, INITIAL_STATE):
            folded, outcome = fold(state, Offset(state.next_offset), text)
            self.assertGreaterEqual(folded.version, state.version, outcome)
        good = encode_change(make_change(ChangeId("next"), folded.version, BASE))
        after, _ = fold(folded, folded.next_offset, good)
        self.assertGreaterEqual(after.version, folded.version)
