"""
Model-check the lease protocol in models/lease.pml.

No reachable state may have two nodes that may act. With any one safety check removed,
the search must find such a state, which shows that it would detect the fault.
"""

from unittest import TestCase

from tests.common.spin import search_model

MODEL = "lease.pml"
TWO_SUCCESSORS = ["FIRST_CANDIDATE=1", "LAST_CANDIDATE=2"]
SUCCESSORS_STAY = ["RESTARTS=0", *TWO_SUCCESSORS]
SHORT_TIMES = [
    "EXACT_CLOCKS",
    "TAKEOVER_WAIT=1",
    "PROMISE=1",
    "PROMISE_KEPT=1",
    "UNREAD_LIMIT=4",
    "NEWCOMER_WAIT=4",
    "HIGHEST_TERM=4",
]
RESTORED = [
    "RESTORES=1",
    "EXACT_CLOCKS",
    "TAKEOVER_WAIT=1",
    "PROMISE=1",
    "PROMISE_KEPT=1",
    "UNREAD_LIMIT=2",
    "NEWCOMER_WAIT=2",
]
LEAST_STATES = 100_000


class SpecificationTests(TestCase):
    """Check that no state of the specification has two nodes that act."""

    def check_holds(self, switches: list[str]) -> None:
        outcome = search_model(MODEL, switches)
        self.assertFalse(outcome.violated, outcome.report)
        self.assertTrue(outcome.complete, outcome.report)
        self.assertGreater(outcome.states, LEAST_STATES)

    def test_two_successors_second_takeover_and_forgetful_restart(self) -> None:
        self.check_holds([*TWO_SUCCESSORS, "RESTARTS=1"])

    def test_answers_that_come_late_or_never(self) -> None:
        self.check_holds([*SUCCESSORS_STAY, "LATE_ANSWERS", "HIGHEST_TERM=2"])

    def test_planned_stop_hands_over(self) -> None:
        self.check_holds([*SUCCESSORS_STAY, "HANDOVERS"])

    def test_newcomer_beside_two_successors(self) -> None:
        self.check_holds(["RESTARTS=0", "HIGHEST_TERM=2"])

    def test_newcomer_with_takeovers_on_top(self) -> None:
        self.check_holds(["RESTARTS=0", "PASSIVE=2", "EXACT_CLOCKS"])

    def test_newcomer_joins_the_set_and_successor_restarts(self) -> None:
        self.check_holds([*SHORT_TIMES, "RENEWALS", "RESTARTS=1", "PASSIVE=2"])

    def test_store_restored_and_successor_restarts(self) -> None:
        self.check_holds([*RESTORED, *TWO_SUCCESSORS, "RESTARTS=1", "HIGHEST_TERM=2"])

    def test_store_restored_beside_takeovers_and_renewals(self) -> None:
        self.check_holds([*RESTORED, *SUCCESSORS_STAY, "RENEWALS"])


# Switches that remove one safety check, with those that keep the search short.
BROKEN_VARIANTS = {
    "no check after a pause": ["NO_CHECK_AFTER_PAUSE", *SUCCESSORS_STAY],
    "promise without an end": ["PROMISE_WITHOUT_END", *SUCCESSORS_STAY],
    "newcomer outside the closed set": ["NEWCOMER_LIKE_SUCCESSOR", "RESTARTS=0"],
    "promises without ever reading the log": ["UNREAD_WITHOUT_END", "RESTARTS=0"],
    "time from after the request": [
        "TIME_FROM_ANSWER",
        "LATE_ANSWERS",
        *SUCCESSORS_STAY,
    ],
    "own promise not waited out": ["NO_PROMISE_WAIT", *SUCCESSORS_STAY],
    "no wait after the record": ["NO_TAKEOVER_WAIT", *SUCCESSORS_STAY],
    "promise while an append is in doubt": ["PROMISE_IN_DOUBT", *SUCCESSORS_STAY],
    "restart without a quiet time": ["NO_QUIET_START", "RESTARTS=1", *TWO_SUCCESSORS],
    "takeover that changes the closed set": [
        "SET_CHANGED_BY_TAKEOVER",
        "RESTARTS=1",
        "PASSIVE=2",
    ],
    "lapsed holder that resumes by promises": [
        "RESUME_BY_PROMISES",
        *SHORT_TIMES,
        "RENEWALS",
        "RESTARTS=1",
        "PASSIVE=2",
    ],
    "log that is taken to forget nothing": [
        "ERA_IGNORED",
        *RESTORED,
        *SUCCESSORS_STAY,
        "HIGHEST_TERM=2",
    ],
    "read of a restored log that extends a lease": [
        "HOLDER_READS_LATER_ERA",
        *RESTORED,
        *SUCCESSORS_STAY,
        "HIGHEST_TERM=2",
    ],
    "record of an earlier era that counts like a new one": [
        "EARLIER_RECORD_COUNTS",
        *RESTORED,
        *SUCCESSORS_STAY,
        "RENEWALS",
    ],
    "takeover wait without a margin for drift": ["TAKEOVER_WAIT=1", *SUCCESSORS_STAY],
    "kept promise without a margin for drift": ["PROMISE_KEPT=2", *SUCCESSORS_STAY],
}


class BrokenVariantTests(TestCase):
    """Check that the search finds two nodes that act without a safety check."""

    def test_search_finds_two_that_act_without_each_guard(self) -> None:
        for name, switches in BROKEN_VARIANTS.items():
            with self.subTest(name):
                outcome = search_model(MODEL, switches)
                self.assertTrue(outcome.violated, outcome.report)
