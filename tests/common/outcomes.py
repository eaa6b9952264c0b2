"""Collect the outcome of every test for the summary line."""

from nose2.events import Plugin, TestOutcomeEvent

PASSED: set[str] = set()
FAILED: set[str] = set()
SKIPPED: set[str] = set()


class OutcomePlugin(Plugin):  # type: ignore[misc]
    """Record test ids by outcome."""

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record one outcome; a sub-test that fails makes its test fail."""
        test_id = event.test.id()
        if not test_id.startswith("setUpClass"):
            test_id = test_id.split(" ")[0]  # a sub-test's parameters follow
        if event.outcome == "skipped":
            SKIPPED.add(test_id)
        elif event.outcome == "subtest" and event.exc_info is None:
            return  # the test itself is counted at its end
        elif event.outcome == "passed" and event.expected:
            PASSED.add(test_id)
        else:
            FAILED.add(test_id)
