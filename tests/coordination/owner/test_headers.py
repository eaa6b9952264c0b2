"""
Test the request headers for targets and how their responses are classified.

A forged header could reach a target, or a refusal that is taken for a normal response
would not be retried.
"""

from dataclasses import replace
from unittest import TestCase

from corianderhold.coordination.owner.headers import TargetHeaders, parse_refusal
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header
from corianderhold.protocol.verdict import Reason
from tests.common.calls import make_context

NAMES = HeaderNames(
    deadline_ms="Left",
    organisation="Customer",
    expected_target="For",
    importance=None,
    context=None,
    not_run="Refused",
)
CALLERS = (
    Header("X-Request-Id", "r1"),
    Header("left", "9"),
    Header("CUSTOMER", "forged"),
    Header("Via", "a"),
    Header("Via", "b"),
)


class TargetHeadersTests(TestCase):
    """Build headers under a deployment's header names and under the default ones."""

    def build(
        self, names: HeaderNames, organisation: str = "schools", left_s: float = 1.2349
    ) -> list[tuple[str, str]]:
        context = replace(make_context(organisation=organisation), headers=CALLERS)
        built = TargetHeaders(names).build(context, "t1", "token", left_s)
        return [(header.name, header.value) for header in built]

    def test_headers_of_a_deployment_replace_the_callers(self) -> None:
        forwarded = [("X-Request-Id", "r1"), ("Via", "a"), ("Via", "b")]
        added = [("Left", "1234"), ("Customer", "schools"), ("For", "t1")]
        self.assertEqual(self.build(NAMES), forwarded + added)
        added = [("Left", "1"), ("For", "t1")]
        self.assertEqual(self.build(NAMES, "", -0.5), forwarded + added)

    def test_default_names_include_the_context(self) -> None:
        built = dict(self.build(HeaderNames()))
        self.assertEqual(built["X-Corianderhold-Context"], "token")
        self.assertEqual(built["X-Corianderhold-Importance"], "1")
        self.assertEqual(built["X-Corianderhold-Call-Id"], "c1")

    def test_response_that_says_not_run_is_a_refusal(self) -> None:
        refused = Header("refused", "1")
        later = Header("Retry-After", "0.25")
        for status, headers, expected in (
            (421, (), (Reason.TARGET_MISMATCH, 200)),
            (503, (refused, later), (Reason.TARGET_FULL, 250)),
            (429, (refused, Header("Retry-After", "inf")), (Reason.TARGET_FULL, 200)),
            (400, (refused,), (Reason.TARGET_REFUSED, 200)),
            (503, (later,), None),
            (500, (), None),
            (504, (), None),
        ):
            refusal = parse_refusal(status, headers, NAMES)
            found = refusal and (refusal.reason, refusal.retry_after_ms)
            self.assertEqual(found, expected, status)
