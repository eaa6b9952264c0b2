"""
Test the encoding of configurations.

Daemons of different releases must compute the same digest of the same state, or they
report a divergence; so optional fields must not appear in the text while unset.
"""

import json
import unittest

from result import Err

from corianderhold.state.configuration.codec import decode_configuration
from corianderhold.state.configuration.entities import configuration_to_json
from corianderhold.state.configuration.records import Delta
from tests.common.changes import BASE, LIMITS, SPLIT, fold_all, make_text

BASE_DIGEST = "abc8a6ace63d6445d67ed4ede4255ad9b21b7f11b029f3e995b4f96a22c36cc3"


class CodecTest(unittest.TestCase):
    """Check texts of older releases and invalid values."""

    def test_text_and_digest_of_older_releases_are_unchanged(self) -> None:
        state, _ = fold_all([make_text("base", 0, BASE)])
        self.assertEqual(state.digest, BASE_DIGEST)
        value = configuration_to_json(state.configuration)
        self.assertNotIn("limits", value)
        self.assertNotIn("host", value["routes"][0])

    def test_invalid_fields_are_refused(self) -> None:
        change = Delta(routes=(SPLIT,), limits=LIMITS)
        state, _ = fold_all([make_text("a", 0, BASE), make_text("b", 1, change)])
        for kind, field, wrong in (
            ("routes", "host", "Search.example"),
            ("routes", "host", "search.example:80"),
            ("routes", "splits", [{"service": "catalogue", "weight": -1}]),
            ("routes", "anonymous", 1),
            ("routes", "target_latency_ms", 0),
            ("routes", "methods", ["get"]),
            ("routes", "calls", "search"),
            ("routes", "calls", None),
            ("routes", "unknown", 1),
            ("services", "max_connections", 0),
            ("organisations", "importance", "HIGH"),
            *(("limits", field, -1) for field in LIMITS.__dataclass_fields__),
        ):
            value = configuration_to_json(state.configuration)
            entity = value[kind] if kind == "limits" else value[kind][0]
            entity[field] = wrong
            if wrong is None:
                del entity[field]
            self.assertIsInstance(decode_configuration(json.dumps(value)), Err, field)
