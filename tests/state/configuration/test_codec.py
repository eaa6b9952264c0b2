"""Test that configurations and records keep all they hold as text."""

import json
import unittest
from dataclasses import replace

from result import Err

from corianderhold.ids import ServiceName
from corianderhold.state.configuration.codec import decode_configuration
from corianderhold.state.configuration.difference import compute_delta, rebase_draft
from corianderhold.state.configuration.entities import configuration_to_json
from corianderhold.state.configuration.model import (
    CallerLimits,
    Configuration,
    Importance,
    Split,
)
from corianderhold.state.configuration.records import Delta, Draft, EntityKind
from tests.common.changes import (
    BASE,
    CATALOGUE,
    RADIO,
    SEARCH,
    fold_all,
    make_text,
)

BASE_DIGEST = "abc8a6ace63d6445d67ed4ede4255ad9b21b7f11b029f3e995b4f96a22c36cc3"
LIMITS = CallerLimits(8192, 10**6, 2.5, 30)
SPLIT = replace(
    SEARCH,
    service=ServiceName(""),
    splits=(Split(ServiceName("catalogue"), 3),),
    methods=frozenset(),
    host="search.example",
    anonymous=True,
    target_latency_ms=300,
)
CHANGES = (
    Delta(routes=(SPLIT,)),
    Delta(services=(replace(CATALOGUE, max_connections=600),)),
    Delta(organisations=(replace(RADIO, importance=Importance.BULK, rate=0.0),)),
    Delta(limits=LIMITS),
)


def fold_changes() -> list[Configuration]:
    """Return the configurations after the base and after each change."""
    state, _ = fold_all([make_text("base", 0, BASE)])
    configurations = [state.configuration]
    for delta in CHANGES:
        text = make_text(f"c{state.version}", state.version, delta)
        state, _ = fold_all([text], state)
        configurations.append(state.configuration)
    return configurations


class CodecTest(unittest.TestCase):
    """Test each change of an entity through the text of its record."""

    def test_each_change_is_kept_and_undone(self) -> None:
        first, *later = fold_changes()
        self.assertEqual([each.version for each in later], [2, 3, 4, 5])
        self.assertEqual(later[-1].routes, (SPLIT,))
        self.assertEqual(later[-1].limits, LIMITS)
        for configuration in later:
            text = json.dumps(configuration_to_json(configuration))
            self.assertEqual(decode_configuration(text).unwrap(), configuration)
        back = compute_delta(later[-1], first)
        texts = [make_text("base", 0, BASE)]
        texts += [make_text(f"c{i}", i + 1, each) for i, each in enumerate(CHANGES)]
        texts.append(make_text("back", 5, back))
        state, _ = fold_all(texts)
        self.assertEqual(replace(state.configuration, version=first.version), first)
        only_base, _ = fold_all(texts[:1])
        self.assertEqual(state.content_sum, only_base.content_sum)

    def test_text_and_digest_of_what_older_releases_knew_stay(self) -> None:
        state, _ = fold_all([make_text("base", 0, BASE)])
        self.assertEqual(state.digest, BASE_DIGEST)
        value = configuration_to_json(state.configuration)
        self.assertNotIn("limits", value)
        self.assertNotIn("host", value["routes"][0])

    def test_two_changes_of_the_limits_conflict(self) -> None:
        *_, before, after = fold_changes()
        draft = Draft(before.version, Delta(limits=CallerLimits()))
        conflict = rebase_draft(draft, before, after)
        assert isinstance(conflict, Err)
        self.assertEqual(
            [each.kind for each in conflict.err_value], [EntityKind.LIMITS]
        )

    def test_fields_out_of_bounds_are_refused(self) -> None:
        configuration = fold_changes()[-1]
        for kind, field, wrong in (
            ("routes", "host", "Search.example"),
            ("routes", "host", "search.example:80"),
            ("routes", "splits", [{"service": "catalogue", "weight": -1}]),
            ("routes", "anonymous", 1),
            ("routes", "target_latency_ms", 0),
            ("routes", "methods", ["get"]),
            ("routes", "calls", "search"),
            ("routes", "unknown", 1),
            ("services", "max_connections", 0),
            ("organisations", "importance", "HIGH"),
        ):
            value = configuration_to_json(configuration)
            value[kind][0][field] = wrong
            self.assertIsInstance(decode_configuration(json.dumps(value)), Err, field)
        value = configuration_to_json(configuration)
        del value["routes"][0]["calls"]
        self.assertIsInstance(decode_configuration(json.dumps(value)), Err)
        for field in LIMITS.__dataclass_fields__:
            value = configuration_to_json(configuration)
            value["limits"][field] = -1
            self.assertIsInstance(decode_configuration(json.dumps(value)), Err, field)
