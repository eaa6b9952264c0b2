"""Run the demo with separate processes and print served and refused requests."""

import json
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.parse import quote
from uuid import uuid4

from corianderhold.ids import RouteName
from corianderhold.log import LogValue, format_event
from corianderhold.state.configuration.records import Delta
from emulator.sample import (
    BROADCASTER_KEY,
    SCHOOLS_KEY,
    UNKNOWN_KEY,
    build_change,
    build_records,
)
from tests.common.fleet import DaemonPlan, Fleet, RequestPlan
from tests.common.processes import ProcessGroup
from tests.common.waiting import wait_until
from tests.common.web import Outcome

PLANS = (
    DaemonPlan("catalogue-a", "ch-west-a", "catalogue"),
    DaemonPlan("rights-a", "ch-west-a", "rights"),
    DaemonPlan("catalogue-b", "ch-west-b", "catalogue"),
    DaemonPlan("transcripts-b", "ch-west-b", "transcripts"),
)
ENTRIES = ("catalogue-a", "transcripts-b")
DEEP = "/rights/lookup?nested=" + quote("/transcripts/read", safe="")
NESTED_PATH = "/catalogue/search?nested=" + quote(DEEP, safe="")
SEARCH = "/catalogue/search"
READ = "/transcripts/read"
BROWSE = "/catalogue/browse"
LOAD_RATE = 400
LOAD_DURATION_S = 4
LOAD_WORK_MS = 100
LOAD_SECONDS_MAX = 60.0
RETRY_AFTER = "Retry-After"


class Demo:
    """Run the demo steps in order and record unexpected results."""

    def __init__(self, fleet: Fleet, directory: Path) -> None:
        self._fleet = fleet
        self._directory = directory
        self._callers = ProcessGroup(directory)
        self._unexpected: list[str] = []

    def run(self) -> bool:
        """Run all steps and return whether all results were as expected."""
        steps: tuple[Callable[[], None], ...] = (
            self._serve_simple_calls,
            self._serve_nested_calls,
            self._run_once,
            self._refuse_unknown_key,
            self._withdraw_route,
            self._overload,
        )
        try:
            for step in steps:
                step()
        finally:
            self._callers.stop()
        for step_name in self._unexpected:
            print(format_event("unexpected", {"step": step_name}))
        return not self._unexpected

    def _serve_simple_calls(self) -> None:
        for entry in ENTRIES:
            outcome = self._send("serve", entry, SEARCH, BROADCASTER_KEY)
            self._check("serve", outcome.is_whole)

    def _serve_nested_calls(self) -> None:
        for entry in ENTRIES:
            outcome = self._send("nested", entry, NESTED_PATH, SCHOOLS_KEY)
            self._check("nested", outcome.is_whole and count_depth(outcome) == 3)
        executions = [
            execution
            for plan in PLANS
            for execution in self._fleet.list_executions(plan.instance)
        ]
        seen = json.dumps(executions)
        leaked = BROADCASTER_KEY in seen or SCHOOLS_KEY in seen
        organisations = Counter(str(each["organisation"]) for each in executions)
        fields = {f"runs_{name}": count for name, count in organisations.items()}
        print(format_event("identity", {"key_seen_by_targets": leaked, **fields}))
        self._check("identity", not leaked)

    def _run_once(self) -> None:
        request_id = str(uuid4())
        plan = RequestPlan("/catalogue/ingest", BROADCASTER_KEY, "POST", request_id)
        outcome = self._fleet.send(ENTRIES[1], plan)
        report("once", ENTRIES[1], plan.path, outcome)
        runs = self._fleet.count_runs()[request_id]
        print(format_event("runs", {"path": plan.path, "runs": runs}))
        self._check("once", outcome.is_whole and runs == 1)

    def _refuse_unknown_key(self) -> None:
        outcome = self._send("unknown_key", ENTRIES[0], SEARCH, UNKNOWN_KEY)
        expected = ("not_run", "key_unknown")
        self._check("unknown_key", (outcome.verdict, outcome.reason) == expected)

    def _withdraw_route(self) -> None:
        before = self._send("withdraw_route", ENTRIES[0], READ, SCHOOLS_KEY)
        self._check("withdraw_route", before.is_whole)
        self._fleet.publish(build_change(1, Delta(removed_routes=(RouteName("read"),))))

        def is_withdrawn() -> bool:
            plan = RequestPlan(READ, SCHOOLS_KEY)
            return all(not self._fleet.send(each, plan).is_whole for each in ENTRIES)

        wait_until(is_withdrawn, "the route is withdrawn at all entries")
        for entry in ENTRIES:
            outcome = self._send("withdraw_route", entry, READ, SCHOOLS_KEY)
            expected = ("not_run", "route_unknown")
            self._check("withdraw_route", (outcome.verdict, outcome.reason) == expected)

    def _overload(self) -> None:
        ledger = self._directory / "ledger"
        addresses = [self._fleet.members[e].get_address("caller") for e in ENTRIES]
        arguments = ["emulator", "callers", "--addresses", *addresses]
        arguments += ["--keys", BROADCASTER_KEY, SCHOOLS_KEY, "--paths"]
        arguments += [f"{SEARCH}?work_ms={LOAD_WORK_MS}@1"]
        arguments += [f"{BROWSE}?work_ms={LOAD_WORK_MS}@3"]
        arguments += ["--rate", str(LOAD_RATE), "--duration-s", str(LOAD_DURATION_S)]
        arguments += ["--workers", "256", "--ledger", str(ledger)]
        callers = self._callers.start("callers", arguments)
        callers.wait_for_exit(LOAD_SECONDS_MAX)
        print(callers.read_log().strip())
        shares = {}
        calls = [json.loads(line) for line in ledger.read_text().splitlines()]
        for path in (SEARCH, BROWSE):
            verdicts = count_verdicts(calls, path)
            shares[path] = verdicts["whole"] / max(1, verdicts.total())
            fields: dict[str, LogValue] = {"path": path}
            fields.update(verdicts)
            print(format_event("overload", fields))
        verdicts = count_verdicts(calls, "/")
        self._check("overload_sheds", verdicts["not_run"] > 0)
        self._check("overload_serves", verdicts["whole"] > 0)
        self._check("overload_importance", shares[SEARCH] > shares[BROWSE])

    def _send(self, step: str, entry: str, path: str, key: str) -> Outcome:
        outcome = self._fleet.send(entry, RequestPlan(path, key))
        report(step, entry, path, outcome)
        return outcome

    def _check(self, step: str, expected: bool) -> None:
        if not expected:
            self._unexpected.append(step)


def report(step: str, entry: str, path: str, outcome: Outcome) -> None:
    """Print the result of one call."""
    fields: dict[str, LogValue] = {
        "step": step,
        "entry": entry,
        "path": path,
        "status": outcome.status,
        "verdict": outcome.verdict,
        "reason": outcome.reason,
        "retry_after": outcome.headers.get(RETRY_AFTER, ""),
    }
    event = "served" if outcome.is_whole else "refused"
    print(format_event(event, fields), flush=True)


def count_depth(outcome: Outcome) -> int:
    """Return the number of targets that answered in a chain of nested calls."""
    depth = 0
    text: str | None = outcome.body.decode()
    while text:
        answer = json.loads(text)
        depth += 1
        text = answer["nested"][0]["body"] if answer["nested"] else None
    return depth


def count_verdicts(calls: list[dict[str, object]], prefix: str) -> Counter[str]:
    """Count the final verdicts of calls whose path starts with `prefix`."""
    verdicts: Counter[str] = Counter()
    for call in calls:
        attempts = call["attempts"]
        if str(call["path"]).startswith(prefix) and isinstance(attempts, list):
            verdicts[attempts[-1]["verdict"]] += 1
    return verdicts


def run_demo(fleet: Fleet, directory: Path) -> bool:
    """Run all steps on a started fleet; return whether all results were as expected."""
    for path in (NESTED_PATH, SEARCH, READ):
        fleet.wait_until_served(list(ENTRIES), RequestPlan(path, BROADCASTER_KEY))
    return Demo(fleet, directory).run()


def main() -> int:
    """Run the demo and return 0 only if all results were as expected."""
    with TemporaryDirectory(prefix="corianderhold-") as name:
        fleet = Fleet(PLANS, Path(name), entry_slots="0")
        try:
            fleet.start(build_records())
            as_expected = run_demo(fleet, Path(name))
        finally:
            fleet.stop()
    print(format_event("demo_ended", {"as_expected": as_expected}))
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
