"""Check that two builds read each other's data and serve calls side by side."""

import json
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from uuid import uuid4

from corianderhold.cli.client import AdminClient, Reply
from corianderhold.ids import Version
from corianderhold.log import LogValue, format_event
from corianderhold.state.configuration.entities import service_to_json
from corianderhold.state.keys.issue import build_opaque_key
from emulator.sample import (
    BROADCASTER,
    BROADCASTER_KEY,
    DOMAIN_A,
    DOMAIN_B,
    SCHOOLS_KEY,
    SERVICES,
    build_records,
)
from script.run_demo import NESTED_PATH, READ, SEARCH, count_depth
from tests.common.accepted import (
    add_key,
    name_organisation,
    read_configuration,
    state_configuration,
)
from tests.common.fleet import ADMIN_TOKEN, DaemonPlan, Fleet, RequestPlan
from tests.common.keys import make_key
from tests.common.limited import LIMITED_KEY, build_limited
from tests.common.processes import ManagedProcess, Program
from tests.common.waiting import wait_until
from tests.common.web import Outcome

PLANS = (
    DaemonPlan("catalogue-a", DOMAIN_A, "catalogue"),
    DaemonPlan("rights-a", DOMAIN_A, "rights"),
    DaemonPlan("catalogue-b", DOMAIN_B, "catalogue"),
    DaemonPlan("transcripts-b", DOMAIN_B, "transcripts"),
)
INSTANCES = tuple(plan.instance for plan in PLANS)
INGEST = "/catalogue/ingest"
NESTED_DEPTH = 3
RATE = 20.0
BURST = 20.0
SNAPSHOT_RECORDS = 300  # a snapshot is appended after 256 records
CATALOGUE = ("catalogue-a", "catalogue-b")
LEAVING = "catalogue-b"
TARGET_LIMIT = 10.0
LIMIT_SETTLE_S = 1.0
LIMIT_OFFERED_S = 4.0
DEADLY_ROUNDS = 3
ODD_NAME = "Kelpie Counts"
ODD_KEY = "odd-key"
ODD_NAME_S = 3.0  # several exchanges between daemons
COPY_AGE_S = 2.0  # of the copy that the store is restored from
ANSWERS = ("archive", "counters")
RATES_LENT = "0"  # stewards lend tokens to entries
RATES_SLICED = "members"  # each entry has a slice by the number of members

Assignment = Mapping[str, Program]


def build_program(directory: Path) -> Program:
    """Return the command that runs the daemon of the source tree in a directory."""
    command = (sys.executable, "-P", "-m", "corianderhold")
    return Program(command, {"PYTHONPATH": str(directory.resolve())})


class MixedFleet(Fleet):
    """Run each daemon with the build that it was assigned last."""

    def __init__(
        self, directory: Path, assignment: Assignment, entry_slots: str
    ) -> None:
        super().__init__(PLANS, directory, entry_slots)
        self.assignment = assignment

    def launch_daemon(self, instance: str) -> ManagedProcess:
        """Start the process of a daemon with its build."""
        self._daemon_program = self.assignment[instance]
        return super().launch_daemon(instance)

    def restart(self, assignment: Assignment) -> None:
        """Stop and start each daemon whose build changes, one after the other."""
        changed = [
            name for name in INSTANCES if assignment[name] != self.assignment[name]
        ]
        self.assignment = assignment
        for instance in changed:
            self.get_daemon(instance).stop()
            self.start_daemon(instance)


class BuildCheck:
    """Drive one fleet and remember which steps were not as expected."""

    def __init__(self, fleet: MixedFleet, new: Program) -> None:
        self._fleet = fleet
        self._new = new
        self.unexpected: list[str] = []

    def check_all(self, phase: str) -> None:
        """Run every step and print its result."""
        for path in (NESTED_PATH, SEARCH, READ):
            plan = RequestPlan(path, BROADCASTER_KEY)
            self._fleet.wait_until_served(INSTANCES, plan)
        self._report(phase, "nested_calls", self._serve_nested())
        self._report(phase, "keyed_calls", self._serve_keyed())
        self._report(phase, "rate", self._hold_rate())
        self._report(phase, "publication", self._publish_everywhere())
        self._report(phase, "keys", self._grant_and_withdraw())
        self._report(phase, "evacuation", self._evacuate())
        self._report(phase, "limits", self._hold_limits())
        self._report(phase, "deadly", self._send_deadly(phase))
        self._report(phase, "one_view", self._agree())

    def check_leave(self, phase: str) -> None:
        """Stop one daemon and check that all others see it leave."""
        leaver, *rest = INSTANCES
        self._fleet.drain_target(leaver)
        code = self._fleet.get_daemon(leaver).stop()

        def has_left(observer: str) -> bool:
            return self._read_state(observer, leaver) in ("left", "")

        for name in rest:
            wait_until(partial(has_left, name), f"{name} sees that {leaver} left")
        self._fleet.wait_until_served(rest, RequestPlan(SEARCH, BROADCASTER_KEY))
        self._report(phase, "leave", code == 0)
        self._report(phase, "leaving_target", self._leave_target(LEAVING, rest))

    def check_restored(self, phase: str) -> None:
        """
        Restore the store without the last change, which stays in force everywhere.

        A daemon of the new build then publishes, which reaches daemons of both builds.
        """
        running = INSTANCES[1:]
        publisher = next(
            name for name in running if self._fleet.assignment[name] is self._new
        )
        time.sleep(COPY_AGE_S)
        before = self._publish(publisher, 31)
        self._await_version(running, before)
        self._fleet.set_store_faults({"restore_age_s": COPY_AGE_S})
        version = self._publish(publisher, 32)
        self._await_version(running, version)
        self._report(phase, "restored_store", version > before)

    def check_accepted(self, phase: str) -> None:
        """
        State a configuration with a name that older builds refuse.

        The new build brings it into force, with a key that it adds to a known
        organisation, beside daemons that go on with the version before. A steward of
        the older build lends nothing to an organisation that it does not know. The next
        configuration without the name is in force everywhere.
        """
        running = INSTANCES
        new = [name for name in running if self._fleet.assignment[name] is self._new]
        before = read_configuration(self._fleet, new[0])
        odd = name_organisation(before, ODD_NAME)
        key = build_opaque_key(ODD_KEY, BROADCASTER)
        state_configuration(self._fleet, add_key(odd, key))
        self._await_version(new, odd.version)
        self._fleet.wait_until_served(new, RequestPlan(SEARCH, ODD_KEY))
        time.sleep(ODD_NAME_S)
        self._fleet.wait_until_served(running, RequestPlan(SEARCH, BROADCASTER_KEY))
        alive = all(self._fleet.get_daemon(name).exit_code is None for name in running)
        self._report(phase, "odd_name", alive)
        plain = replace(before, version=Version(odd.version + 1))
        state_configuration(self._fleet, plain)
        self._await_version(running, plain.version)
        views = [self.read_view(name) for name in running]
        self._report(phase, "odd_name_gone", all(view == views[0] for view in views))

    def _await_version(self, instances: Sequence[str], version: int) -> None:
        def is_in_force(observer: str) -> bool:
            return bool(self.read_view(observer)["version"] >= version)

        for name in instances:
            wait_until(
                partial(is_in_force, name), f"version {version} is in force at {name}"
            )

    def read_view(self, instance: str) -> dict[str, Any]:
        """Return the configuration's version and digest in force in one daemon."""
        view = self._call(instance, "GET", "/v1/status").body["configuration"]
        return {"version": view["version"], "digest": view["digest"]}

    def publish_many(self, count: int) -> None:
        """Publish changes until a snapshot is due, and wait for it."""
        for number in range(count):
            self._publish(INSTANCES[number % 4], 10 + number % 50)

        def is_appended() -> bool:
            logs = [self._fleet.get_daemon(name).read_log() for name in INSTANCES]
            return any("event=snapshot_appended" in log for log in logs)

        wait_until(is_appended, "a snapshot is appended", 200.0)

    def _report(self, phase: str, step: str, as_expected: bool) -> None:
        fields: dict[str, LogValue] = {
            "phase": phase,
            "step": step,
            "as_expected": as_expected,
        }
        print(format_event("checked", fields), flush=True)
        if not as_expected:
            self.unexpected.append(f"{phase}/{step}")

    def _serve_nested(self) -> bool:
        """Wait until a chain of three calls is served from each entry."""

        def is_served(entry: str) -> bool:
            plan = RequestPlan(NESTED_PATH, SCHOOLS_KEY)
            outcome = self._fleet.send(entry, plan)
            return outcome.is_whole and count_depth(outcome) == NESTED_DEPTH

        for name in INSTANCES:
            wait_until(partial(is_served, name), f"{name} serves nested calls")
        return True

    def _serve_keyed(self) -> bool:
        """
        Send keys at every entry; each is run once and replayed to the others.

        A key whose first request may have run is not sent again: no daemon can
        replay an answer that was lost while its shard moved to another holder.
        """
        wait_until(
            lambda: all(
                self._send_keyed(INSTANCES[0], make_key()).is_whole for _ in range(24)
            ),
            "fresh keys run",
        )
        keys = [make_key() for _ in range(24)]
        replayed = [key for key in keys if self._is_replayed(key)]
        runs = self._fleet.count_runs()
        fields: dict[str, LogValue] = {"sent": len(keys), "replayed": len(replayed)}
        print(format_event("keys", fields), flush=True)
        return (
            len(replayed) > len(keys) // 2
            and all(runs[key] == 1 for key in replayed)
            and all(runs[key] <= 1 for key in keys)
        )

    def _is_replayed(self, key: str) -> bool:
        """Return whether all entries answer a key, unless its run is in doubt."""
        in_doubt = False

        def is_decided(entry: str) -> bool:
            nonlocal in_doubt
            outcome = self._send_keyed(entry, key)
            in_doubt = is_in_doubt(outcome)
            return outcome.is_whole or in_doubt

        for entry in INSTANCES:
            wait_until(partial(is_decided, entry), f"{entry} answers key {key}")
            if in_doubt:
                return False
        return True

    def _send_keyed(self, entry: str, key: str) -> Outcome:
        headers = {"Idempotency-Key": key}
        plan = RequestPlan(INGEST, BROADCASTER_KEY, "POST", key, headers)
        return self._fleet.send(entry, plan)

    def _hold_rate(self) -> bool:
        """Ask for more than the rate at all entries within a burst's refill time."""
        for name in INSTANCES:
            wait_until(partial(self._ask_limited, name), f"{name} admits the caller")
        asked = [name for _ in range(40) for name in INSTANCES]
        whole = sum(self._ask_limited(name) for name in asked)
        return 0 < whole < len(asked)

    def _ask_limited(self, entry: str) -> bool:
        return self._fleet.send(entry, RequestPlan(SEARCH, LIMITED_KEY)).is_whole

    def _publish_everywhere(self) -> bool:
        """Publish at each daemon in turn; each change comes into force at all."""

        def is_in_force(observer: str, version: int) -> bool:
            return bool(self.read_view(observer)["version"] == version)

        for number, name in enumerate(INSTANCES):
            version = self._publish(name, 20 + number)
            for other in INSTANCES:
                wait_until(
                    partial(is_in_force, other, version),
                    f"version {version} of {name} is in force at {other}",
                )
        return True

    def _grant_and_withdraw(self) -> bool:
        """Grant a key at one daemon, use it at all, withdraw it at another."""
        first, *_, last = INSTANCES
        grant = {"organisation": BROADCASTER, "author": "ada"}
        granted = self._call(first, "POST", "/v1/keys", grant).body
        plan = RequestPlan(SEARCH, granted["key"])
        self._fleet.wait_until_served(INSTANCES, plan)
        path = f"/v1/keys/{granted['key_id']}/withdraw"
        self._call(last, "POST", path, {"author": "ada"})

        def is_refused(entry: str) -> bool:
            return self._fleet.send(entry, plan).reason == "key_withdrawn"

        for name in INSTANCES:
            wait_until(partial(is_refused, name), f"{name} refuses the withdrawn key")
        return True

    def _evacuate(self) -> bool:
        """Evacuate a domain at one daemon and end that at another."""
        order = {"domain": DOMAIN_B, "active": True, "author": "ada"}
        begun = self._call(INSTANCES[0], "POST", "/v1/evacuations", order)
        everywhere = all(self._is_evacuated(name, True) for name in INSTANCES)
        ids = [str(uuid4()) for _ in range(8)]
        for number, request_id in enumerate(ids):
            plan = RequestPlan(SEARCH, BROADCASTER_KEY, "GET", request_id)
            self._fleet.send(INSTANCES[number % 4], plan)
        targets = {
            name for request_id in ids for name in self._fleet.find_targets(request_id)
        }
        order["active"] = False
        ended = self._call(INSTANCES[3], "POST", "/v1/evacuations", order)
        restored = all(self._is_evacuated(name, False) for name in INSTANCES)
        in_force = [reply.body["outcome"] == "in_force" for reply in (begun, ended)]
        return all(in_force) and everywhere and restored and targets == {"catalogue-a"}

    def _is_evacuated(self, instance: str, expected: bool) -> bool:
        def is_as_expected() -> bool:
            body = self._call(instance, "GET", "/v1/evacuations").body
            return (str(DOMAIN_B) in json.dumps(body)) == expected

        wait_until(is_as_expected, f"{instance} knows the evacuation: {expected}")
        return True

    def _send_deadly(self, phase: str) -> bool:
        """
        Send a request that crashes its targets to each entry, several times.

        No daemon may take its refusal for an answer or the end of a link. Owners of an
        older build pass such a request on, so both targets may end; a daemon of the new
        build serves other requests at once when they are back.
        """
        saved = self._fleet.save_runs()
        plans = [
            RequestPlan(f"{SEARCH}?crash=1&phase={phase}", BROADCASTER_KEY)
            for _ in range(DEADLY_ROUNDS * len(INSTANCES))
        ]
        outcomes = [
            self._fleet.send(INSTANCES[number % len(INSTANCES)], plan)
            for number, plan in enumerate(plans)
        ]
        crashed = self._fleet.restart_crashed_targets(saved)
        plan = RequestPlan(SEARCH, BROADCASTER_KEY)
        self._fleet.wait_until_served(INSTANCES, plan)
        refused = all(
            not outcome.is_whole and outcome.verdict in ("not_run", "may_have_run")
            for outcome in outcomes
        )
        return refused and 0 < crashed <= len(CATALOGUE)

    def _hold_limits(self) -> bool:
        """
        Let both catalogue targets name a limit and send more from all entries.

        Every entry must read the refusals of every owner as "not run", and owners of
        the new build must keep the limit.
        """
        for name in CATALOGUE:
            self._fleet.set_target_faults(name, {"rate_limit": TARGET_LIMIT})
        self._offer(LIMIT_SETTLE_S)
        started = time.monotonic()
        sent = self._offer(LIMIT_OFFERED_S)
        allowed = 1.5 * TARGET_LIMIT * (time.monotonic() - started) + 5
        kept = all(
            sum(name in self._fleet.find_targets(each) for each in sent) <= allowed
            for name in CATALOGUE
            if self._fleet.assignment[name] is self._new
        )
        for name in CATALOGUE:
            self._fleet.set_target_faults(name, {"rate_limit": None})
        plan = RequestPlan(SEARCH, BROADCASTER_KEY)
        self._fleet.wait_until_served(INSTANCES, plan)
        unread = [each for each in sent.values() if is_in_doubt(each)]
        return kept and not unread

    def _offer(self, seconds: float) -> dict[str, Outcome]:
        """Send requests from all entries in turn; return their outcomes by id."""
        sent = {}
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in INSTANCES:
                plan = RequestPlan(SEARCH, BROADCASTER_KEY)
                sent[plan.request_id] = self._fleet.send(name, plan)
        return sent

    def _leave_target(self, leaver: str, entries: Sequence[str]) -> bool:
        """Let the last target of a service say that it leaves, beside a new daemon."""
        self._fleet.set_target_faults(leaver, {"leaving": True})
        plan = RequestPlan(SEARCH, BROADCASTER_KEY)
        for entry in entries:
            wait_until(
                lambda at=entry: not self._fleet.send(at, plan).is_whole,  # type: ignore[misc]
                f"{entry} gets no answer of a target that leaves",
            )
        late = [RequestPlan(SEARCH, BROADCASTER_KEY) for _ in entries]
        outcomes = [
            self._fleet.send(entry, plan)
            for entry, plan in zip(entries, late, strict=True)
        ]
        runs = self._fleet.count_runs()
        refused = not any(each.is_whole or each.may_have_run for each in outcomes)
        return refused and all(runs[plan.request_id] == 0 for plan in late)

    def _agree(self) -> bool:
        views = [self.read_view(name) for name in INSTANCES]
        return all(view == views[0] for view in views)

    def _publish(self, instance: str, limit: int) -> int:
        """Publish a change of one service; return the version of it."""
        value = service_to_json(SERVICES[0]) | {"max_concurrency": limit}
        version = 0

        def is_accepted() -> bool:
            nonlocal version
            body = {
                "base_version": self.read_view(instance)["version"],
                "change_id": str(uuid4()),
                "author": instance,
                "set": {"services": [value]},
            }
            reply = self._call(instance, "POST", "/v1/changes", body)
            version = reply.body.get("version", 0)
            return bool(reply.body["outcome"] == "accepted")

        wait_until(is_accepted, f"{instance} publishes a change")
        return version

    def _read_state(self, instance: str, member: str) -> str:
        members = self._call(instance, "GET", "/v1/status").body["members"]
        return next((e["state"] for e in members if e["instance"] == member), "")

    def _call(
        self, instance: str, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Reply:
        url = f"http://{self._fleet.members[instance].get_address('admin')}"
        reply: Reply = AdminClient(url, ADMIN_TOKEN).call(method, path, body).unwrap()
        return reply


def is_in_doubt(outcome: Outcome) -> bool:
    """Return whether a request may have run although it got no whole response."""
    return not outcome.is_whole and outcome.may_have_run


def run_command(program: Program, arguments: Sequence[str], cwd: Path) -> str:
    """Return the output and exit code of a command of one build."""
    done = subprocess.run(
        [*program.command, *arguments],
        env={"PATH": "/usr/bin:/bin", **program.environment},
        cwd=cwd,
        capture_output=True,
        text=True,
        check=False,
    )
    return f"{done.stdout}exit {done.returncode}"


def check_answers(old: Program, new: Program, examples: Path, directory: Path) -> bool:
    """Check that both builds generate the same from answers of either."""
    for number, program in enumerate((old, new)):
        path = str(directory / f"answers-{number}.ini")
        run_command(program, ["answers", "init", path], directory)
    questions = [(directory / f"answers-{each}.ini").read_text() for each in (0, 1)]
    generated = [
        [
            run_command(
                program, ["answers", "generate", str(examples / name)], examples
            )
            for name in ANSWERS
        ]
        for program in (old, new)
    ]
    return (
        generated[0] == generated[1]
        and all(text.endswith("exit 0") for text in generated[0])
        and list_options(questions[0]) == list_options(questions[1])
    )


def list_options(questions: str) -> list[str]:
    """Return the sections and options of an answers file without its comments."""
    lines = (line.split("=")[0].lstrip("#").strip() for line in questions.splitlines())
    return [line for line in lines if line.startswith("[") or line.isidentifier()]


def check_fleet(
    old: Program, new: Program, entry_slots: str, directory: Path, newest: Program
) -> list[str]:
    """Run one fleet through both builds; return the steps that were not as expected."""
    fleet = MixedFleet(directory, dict.fromkeys(INSTANCES, old), entry_slots)
    check = BuildCheck(fleet, newest)
    mixed = dict(zip(INSTANCES, (old, new, new, old), strict=True))
    swapped = dict(zip(INSTANCES, (new, old, old, new), strict=True))
    try:
        fleet.start(build_records())
        fleet.publish(build_limited(RATE, BURST))
        check.check_all("first_build")
        check.publish_many(SNAPSHOT_RECORDS)
        for phase, assignment in (
            ("mixed", mixed),
            ("swapped", swapped),
            ("second_build", dict.fromkeys(INSTANCES, new)),
        ):
            fleet.restart(assignment)
            check.check_all(phase)
        fleet.restart(mixed if newest is new else swapped)
        check.check_accepted("mixed_again")
        check.check_leave("mixed_again")
        check.check_restored("mixed_again")
    finally:
        fleet.stop()
    return check.unexpected


def main(arguments: Sequence[str]) -> int:
    """Check the source trees in two directories against each other, both ways."""
    if len(arguments) != 2:
        print("usage: python -m script.mixed_builds OLD_TREE NEW_TREE")
        return 2
    old, new = (build_program(Path(each)) for each in arguments)
    unexpected = []
    with TemporaryDirectory(prefix="corianderhold-") as name:
        examples = Path(arguments[0]).resolve() / "examples" / "answers"
        if not check_answers(old, new, examples, Path(name)):
            unexpected.append("answers")
    for direction, first, second, entry_slots in (
        ("old_to_new", old, new, RATES_LENT),
        ("new_to_old", new, old, RATES_SLICED),
    ):
        with TemporaryDirectory(prefix="corianderhold-") as name:
            found = check_fleet(first, second, entry_slots, Path(name), new)
            unexpected += [f"{direction}/{each}" for each in found]
    print(format_event("builds_checked", {"unexpected": ",".join(unexpected)}))
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
