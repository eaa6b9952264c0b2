"""
Test the retry-after times of refused callers.

Callers that one overload refuses would otherwise all retry in the same second and
cause the next overload.
"""

from collections import Counter
from unittest import TestCase

from corianderhold.coordination.entry.const import RETRY_AFTER_JITTER_S
from corianderhold.coordination.entry.response import (
    format_milliseconds,
    format_whole_seconds,
)
from corianderhold.ids import CallId
from corianderhold.protocol.verdict import Reason, refuse_not_run

CALLS = 3000


class RetryAfterTests(TestCase):
    """Spread the retries of equal refusals."""

    def test_equal_refusals_spread_over_several_seconds(self) -> None:
        refusal = refuse_not_run(Reason.SHED, 300)
        hints = Counter(
            int(format_whole_seconds(refusal, CallId(f"call-{i}")))
            for i in range(CALLS)
        )
        self.assertEqual(set(hints), set(range(1, RETRY_AFTER_JITTER_S + 2)))
        self.assertLess(max(hints.values()), CALLS / 2)

    def test_retry_after_is_never_below_that_of_the_refusal(self) -> None:
        refusal = refuse_not_run(Reason.SHED, 4500)
        hints = [int(format_whole_seconds(refusal, CallId(str(i)))) for i in range(100)]
        self.assertEqual(min(hints), 5)

    def test_fractions_are_spread_and_never_early(self) -> None:
        for asked_ms, least_s in ((0, 0.05), (300, 0.3)):
            refusal = refuse_not_run(Reason.SHED, asked_ms)
            hints = [
                float(format_milliseconds(refusal, CallId(str(i)))) for i in range(100)
            ]
            self.assertGreaterEqual(min(hints), least_s)
            self.assertLessEqual(max(hints), least_s * 1.5)
            self.assertGreater(len(set(hints)), 10)
