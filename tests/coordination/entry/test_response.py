"""Test when refused callers are told to come back."""

from collections import Counter
from unittest import TestCase

from corianderhold.coordination.entry.const import RETRY_AFTER_EXTRA_S
from corianderhold.coordination.entry.response import (
    format_milliseconds,
    format_whole_seconds,
)
from corianderhold.ids import CallId
from corianderhold.protocol.verdict import Reason, refuse_not_run

CALLS = 3000


class RetryAfterTests(TestCase):
    """Spread the callers that one overload refused."""

    def test_equal_refusals_spread_over_several_seconds(self) -> None:
        refusal = refuse_not_run(Reason.SHED, 300)
        hints = Counter(
            int(format_whole_seconds(refusal, CallId(f"call-{i}")))
            for i in range(CALLS)
        )
        self.assertEqual(set(hints), set(range(1, RETRY_AFTER_EXTRA_S + 2)))
        self.assertLess(max(hints.values()), CALLS / 2)

    def test_hint_is_never_earlier_than_the_refusal_says(self) -> None:
        refusal = refuse_not_run(Reason.SHED, 4500)
        hints = [int(format_whole_seconds(refusal, CallId(str(i)))) for i in range(100)]
        self.assertEqual(min(hints), 5)

    def test_fractions_spread_and_are_never_early(self) -> None:
        for asked_ms, least_s in ((0, 0.05), (300, 0.3)):
            refusal = refuse_not_run(Reason.SHED, asked_ms)
            hints = [
                float(format_milliseconds(refusal, CallId(str(i)))) for i in range(100)
            ]
            self.assertGreaterEqual(min(hints), least_s)
            self.assertLessEqual(max(hints), least_s * 1.5)
            self.assertGreater(len(set(hints)), 10)
