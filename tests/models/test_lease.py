"""Check models/lease.pml and require a counterexample without each guard."""

from unittest import TestCase

from tests.common.spin import search_model

MODEL = "lease.pml"
TWO_SUCCESSORS = ["FIRST_CANDIDATE=1", "LAST_CANDIDATE=2"]
SHORT_TIMES = [
    "EXACT_CLOCKS",
    "TAKEOVER_WAIT=1",
    "PROMISE=1",
    "PROMISE_KEPT=1",
    "UNREAD_LIMIT=4",
    "NEWCOMER_WAIT=4",
    "HIGHEST_TERM=4",
]
LEAST_STATES = 100_000


class SpecificationTests(TestCase):
    """Check that no state of the specification has two that act."""

    def check_holds(self, switches: list[str]) -> None:
        outcome = search_model(MODEL, switches)
        self.assertFalse(outcome.violated, outcome.report)
        self.assertTrue(outcome.complete, outcome.report)
        self.assertGreater(outcome.states, LEAST_STATES)

    def test_two_successors_second_takeover_and_forgetful_restart(self) -> None:
        self.check_holds([*TWO_SUCCESSORS, "RESTARTS=1"])

    def test_answers_that_come_late_or_never(self) -> None:
        self.check_holds(
            [*TWO_SUCCESSORS, "RESTARTS=0", "LATE_ANSWERS", "HIGHEST_TERM=2"]
        )

    def test_planned_stop_hands_over(self) -> None:
        self.check_holds([*TWO_SUCCESSORS, "RESTARTS=0", "HANDOVERS"])

    def test_newcomer_beside_two_successors(self) -> None:
        self.check_holds(["RESTARTS=0", "HIGHEST_TERM=2"])

    def test_newcomer_with_takeovers_on_top(self) -> None:
        self.check_holds(["RESTARTS=0", "PASSIVE=2", "EXACT_CLOCKS"])

    def test_newcomer_joins_the_set_and_successor_restarts(self) -> None:
        self.check_holds([*SHORT_TIMES, "RENEWALS", "RESTARTS=1", "PASSIVE=2"])


class BrokenVariantTests(TestCase):
    """Check that the search finds two that act once a guard is removed."""

    def check_breaks(self, *switches: str) -> None:
        outcome = search_model(MODEL, list(switches))
        self.assertTrue(outcome.violated, outcome.report)

    def test_no_check_after_a_pause(self) -> None:
        self.check_breaks("NO_CHECK_AFTER_PAUSE", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_promise_without_an_end(self) -> None:
        self.check_breaks("PROMISE_WITHOUT_END", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_newcomer_outside_the_closed_set(self) -> None:
        self.check_breaks("NEWCOMER_LIKE_SUCCESSOR", "RESTARTS=0")

    def test_promises_relied_on_without_ever_reading_the_log(self) -> None:
        self.check_breaks("UNREAD_WITHOUT_END", "RESTARTS=0")

    def test_time_taken_from_after_the_request(self) -> None:
        self.check_breaks(
            "TIME_FROM_ANSWER", "LATE_ANSWERS", "RESTARTS=0", *TWO_SUCCESSORS
        )

    def test_successor_that_does_not_wait_its_own_promise_out(self) -> None:
        self.check_breaks("NO_PROMISE_WAIT", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_successor_that_does_not_wait_after_its_record(self) -> None:
        self.check_breaks("NO_TAKEOVER_WAIT", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_promise_given_while_an_append_is_in_doubt(self) -> None:
        self.check_breaks("PROMISE_IN_DOUBT", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_restarted_successor_that_acts_without_a_quiet_time(self) -> None:
        self.check_breaks("NO_QUIET_START", "RESTARTS=1", *TWO_SUCCESSORS)

    def test_takeover_that_changes_the_closed_set(self) -> None:
        self.check_breaks("SET_CHANGED_BY_TAKEOVER", "RESTARTS=1", "PASSIVE=2")

    def test_lapsed_holder_that_resumes_by_promises_alone(self) -> None:
        self.check_breaks(
            "RESUME_BY_PROMISES", *SHORT_TIMES, "RENEWALS", "RESTARTS=1", "PASSIVE=2"
        )

    def test_takeover_wait_without_a_margin_for_drift(self) -> None:
        self.check_breaks("TAKEOVER_WAIT=1", "RESTARTS=0", *TWO_SUCCESSORS)

    def test_kept_promise_without_a_margin_for_drift(self) -> None:
        self.check_breaks("PROMISE_KEPT=2", "RESTARTS=0", *TWO_SUCCESSORS)
