"""Test the overload figures on synthetic calls."""

from unittest import TestCase

from emulator.ledger import Attempt, Call
from measurements.load.deployment import CRITICAL_PATH, NORMAL_PATH
from measurements.load.figures import (
    compute_goodput_ratio,
    compute_recovery_s,
    compute_top_importance_ratio,
    count_attempts,
    share_fairly,
)
from measurements.load.scenario import (
    CAUSE_ENDS_S,
    CAUSE_STARTS_S,
    ENDS_S,
    Scenario,
)

SCENARIO = Scenario("made_up", rate=1000.0)
STEP_S = 0.1
GOOD = Attempt(200, "whole", "", 0.0, 0.0)
REFUSED = Attempt(503, "not_run", "shed", 0.0, 1.0)


def make_calls(failed_until_s: float, path: str = NORMAL_PATH) -> list[Call]:
    """Return calls at a steady rate that fail from the cause's start until a time."""
    calls = []
    for index in range(int(ENDS_S / STEP_S)):
        due_s = index * STEP_S
        failed = CAUSE_STARTS_S <= due_s < failed_until_s
        attempts = (REFUSED if failed else GOOD,)
        calls.append(Call(str(index), "key", path, due_s, 0.001, attempts))
    return calls


class FiguresTests(TestCase):
    """Compute figures with known results."""

    def test_recovery_counts_from_the_end_of_the_cause(self) -> None:
        self.assertEqual(compute_recovery_s(make_calls(CAUSE_ENDS_S), SCENARIO), 0.0)
        late = make_calls(CAUSE_ENDS_S + 1.05)
        self.assertEqual(compute_recovery_s(late, SCENARIO), 1.5)

    def test_fleet_that_never_recovers_shows_no_number(self) -> None:
        never = compute_recovery_s(make_calls(ENDS_S), SCENARIO)
        self.assertEqual(never, float("inf"))

    def test_goodput_is_measured_by_what_was_asked_within_the_cause(self) -> None:
        half = make_calls((CAUSE_STARTS_S + CAUSE_ENDS_S) / 2)
        self.assertAlmostEqual(compute_goodput_ratio(half, SCENARIO), 0.5, places=1)
        whole = make_calls(0.0)
        self.assertAlmostEqual(compute_goodput_ratio(whole, SCENARIO), 1.0, places=1)

    def test_only_critical_calls_count_as_most_important(self) -> None:
        failed = make_calls(CAUSE_ENDS_S)
        self.assertEqual(compute_top_importance_ratio(failed, SCENARIO), 1.0)
        critical = make_calls(CAUSE_ENDS_S, CRITICAL_PATH)
        self.assertEqual(compute_top_importance_ratio(critical, SCENARIO), 0.0)

    def test_capacity_that_one_leaves_goes_to_the_others(self) -> None:
        shares = share_fairly({"small": 10.0, "a": 100.0, "b": 100.0}, 90.0)
        self.assertEqual(shares, {"small": 10.0, "a": 40.0, "b": 40.0})

    def test_attempts_are_counted_by_root_over_all_daemons(self) -> None:
        line = "event=call_routed call=c root={} importance=1 attempt=0 owner={} x=1\n"
        logs = [line.format("r1", "a") * 2, line.format("r1", "b")]
        logs.append(line.format("r2", "None"))
        self.assertEqual(count_attempts(logs), {"r1": 3})
