"""Test that the soak checks find each violated guarantee and report no others."""

from dataclasses import replace
from unittest import TestCase

from measurements.endurance.checks import (
    IN_FORCE_S,
    Kind,
    Sent,
    Span,
    count_breaches,
    find_bound,
)

WHOLE = Sent("r", Kind.PLAIN, "k", 10.0, 200, True, "r")
REFUSED = replace(WHOLE, status=503, whole=False, answered_id="")


class ChecksTests(TestCase):
    """Check handwritten requests."""

    def find(
        self, sent: list[Sent], runs: int, bound: float = 99.0
    ) -> dict[str, float]:
        """Return the guarantees violated by requests with one id."""
        found = count_breaches(sent, {"r": runs}, {"k": bound})
        late = found.pop("withdrawn_sent")
        self.assertEqual(late, float(sent[0].sent_at > bound))
        return {name: count for name, count in found.items() if count}

    def test_each_broken_promise_is_found(self) -> None:
        keyed = replace(WHOLE, kind=Kind.KEYED)
        read = replace(WHOLE, kind=Kind.IDEMPOTENT)
        refused_key = replace(REFUSED, kind=Kind.KEYED)
        cases: list[tuple[list[Sent], int, float, str | None]] = [
            ([WHOLE], 1, 99.0, None),
            ([WHOLE], 2, 99.0, "ran_twice"),
            ([keyed, keyed], 1, 99.0, None),
            ([keyed, keyed], 2, 99.0, "ran_twice"),
            ([read], 2, 99.0, None),
            ([REFUSED], 0, 99.0, None),
            ([REFUSED], 1, 99.0, "refused_ran"),
            ([replace(REFUSED, status=429)], 1, 99.0, "refused_ran"),
            ([replace(REFUSED, status=502)], 1, 99.0, None),
            ([refused_key, keyed], 1, 99.0, None),
            ([refused_key, refused_key], 1, 99.0, "refused_ran"),
            ([WHOLE], 1, 9.0, "withdrawn_ran"),
            ([read], 1, 9.0, "withdrawn_ran"),
            ([WHOLE], 1, 10.0, None),
            ([keyed, replace(keyed, sent_at=12.0)], 1, 11.0, None),
            ([replace(WHOLE, answered_id="other")], 1, 99.0, "crossed_answers"),
        ]
        for sent, runs, bound, broken in cases:
            expected = {} if broken is None else {broken: 1.0}
            self.assertEqual(self.find(sent, runs, bound), expected, (sent, runs))

    def test_time_under_faults_does_not_count_towards_the_bound(self) -> None:
        bound = 100.0 + IN_FORCE_S
        for faults, added_s in (
            ([], 0.0),
            ([Span(90.0, 99.0), Span(bound + 1.0, bound + 9.0)], 0.0),
            ([Span(98.0, 103.0)], 3.0),
            ([Span(bound + 2.0, bound + 4.0), Span(101.0, 104.0)], 5.0),
        ):
            self.assertEqual(find_bound(100.0, faults), bound + added_s, faults)
