"""Inject random faults, drains and changes one after another."""

import random
import re
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from corianderhold.ids import KeyId
from corianderhold.state.configuration.model import ApiKey, Service
from corianderhold.state.configuration.records import Delta
from emulator.broken_answers import BROKEN_HEADER, draw_answer
from emulator.broken_target import BrokenTarget
from emulator.sample import BROADCASTER_KEY, CATALOGUE, build_change
from emulator.slow_reader import SlowReader
from measurements.endurance.checks import IN_FORCE_S, Span
from tests.common.accepted import (
    ODD_NAMES,
    add_key,
    name_organisation,
    read_configuration,
    state_configuration,
)
from tests.common.fleet import Fleet, RequestPlan
from tests.common.waiting import wait_until
from tests.common.web import Outcome

FAULT_S = 2.5
FREEZE_S = 5.0
PAUSE_MAX_S = 1.5
SLOW_STORE_MS = 1500
COPY_AGE_S = (1.0, 20.0)  # of the copy that the store is restored from
LATE_ANNOUNCEMENTS = 5
LARGE_ANSWER_PATH = "/catalogue/search?size=28000"
SLOW_READERS = 4
SENT_AHEAD = 6
READ_BYTES_PER_S = 8000.0
READ_BEFORE_STOP_MAX_S = 1.0
DRAIN_SLACK_S = 1.0  # time for the drain to reach the target's owner
LIMITS = (8, 16, 32)
UPLOAD_PATH = "/catalogue/ingest"
UPLOAD = b"u" * (4 * 1024 * 1024)
UPLOADERS = 4
DEADLY_PATH = "/catalogue/search?crash=1&work_ms=5"
DEADLY_PAUSE_S = 0.1
POLL_INTERVAL_S = 0.1
STARTED_LINE = re.compile("event=application_started")


class Events:
    """Inject events; `keys` are withdrawn in turn, `withdrawn` has the times by key."""

    def __init__(
        self, fleet: Fleet, rng: random.Random, keys: dict[str, ApiKey]
    ) -> None:
        self._fleet = fleet
        self._random = rng
        self._keys = dict(keys)
        self._version = 1
        self.withdrawn: dict[str, float] = {}
        self.faults: list[Span] = []
        self.counts: Counter[str] = Counter()
        self.runs_after_drain = 0
        self.cut_answers = 0
        self.broken_answers = 0
        self.crashes_max = 0
        self.stale_daemons = 0
        self._deadly_requests = 0
        self._odd_names = 0
        self._kinds: dict[str, Callable[[str], None]] = {
            "kill": self._kill_daemon,
            "freeze": self._freeze_daemon,
            "cut": self._cut_daemon,
            "target_crash": self._crash_target,
            "drain": self._drain_target,
            "forgotten_drain": self._drain_and_kill,
            "drain_forgotten_by_all": self._drain_and_kill_all,
            "slow_stop": self._stop_beside_slow_readers,
            "broken_answers": self._break_answers,
            "deadly": lambda _: self._send_deadly(),
            "store_down": lambda _: self._fail_store("down", True, False),
            "store_slow": lambda _: self._fail_store("delay_ms", SLOW_STORE_MS, 0),
            "store_lossy": lambda _: self._fail_store("lose_answers", True, False),
            "store_restored": lambda _: self._restore_store(),
            "odd_configuration": self._accept_odd_and_kill_all,
            "limit": lambda _: self._change_limit(),
            "withdrawal": lambda _: self._withdraw_key(),
        }

    def run(self, until: float) -> None:
        """Inject events until a monotonic time; each kind occurs before any repeats."""
        kinds: list[str] = []
        while time.monotonic() < until:
            kinds = kinds or self._random.sample(list(self._kinds), len(self._kinds))
            kind = kinds.pop()
            instance = self._random.choice(list(self._fleet.members))
            self.counts[kind] += 1
            began_at = time.time()
            self._kinds[kind](instance)
            if kind not in ("limit", "withdrawal"):
                self.faults.append(Span(began_at, time.time()))
            time.sleep(self._random.uniform(0.0, PAUSE_MAX_S))

    def _kill_daemon(self, instance: str) -> None:
        self._fleet.get_daemon(instance).kill()
        time.sleep(FAULT_S)
        self._fleet.start_daemon(instance)

    def _freeze_daemon(self, instance: str) -> None:
        daemon = self._fleet.get_daemon(instance)
        daemon.freeze()
        time.sleep(FREEZE_S)
        daemon.thaw()

    def _cut_daemon(self, instance: str) -> None:
        relay = self._fleet.get_peer_relay(instance)
        relay.cut()
        time.sleep(FAULT_S)
        relay.heal()

    def _crash_target(self, instance: str) -> None:
        self._fleet.kill_target(instance)
        time.sleep(FAULT_S)
        self._fleet.start_target(instance)

    def _send_deadly(self) -> None:
        """Send one request that crashes its targets again and again, to all entries."""
        self._deadly_requests += 1
        path = f"{DEADLY_PATH}&n={self._deadly_requests}"
        saved = self._fleet.save_runs()
        entries = list(self._fleet.members)
        until = time.monotonic() + FAULT_S
        while time.monotonic() < until:
            entry = self._random.choice(entries)
            self._fleet.send(entry, RequestPlan(path, BROADCASTER_KEY))
            time.sleep(DEADLY_PAUSE_S)
        crashes = self._fleet.restart_crashed_targets(saved)
        self.crashes_max = max(self.crashes_max, crashes)

    def _break_answers(self, instance: str) -> None:
        """Let a broken target take a target's place; count what appears complete."""
        self._fleet.kill_target(instance)
        outgoing = self._fleet.members[instance].get_address("outgoing")
        target = BrokenTarget(outgoing, CATALOGUE, draw_answer(self._random))
        target.start()
        entries = [instance, self._random.choice(list(self._fleet.members))]
        until = time.monotonic() + FAULT_S
        with ThreadPoolExecutor(UPLOADERS) as uploaders:
            while time.monotonic() < until:
                uploads = [
                    uploaders.submit(self._upload, entry)
                    for entry in entries * (UPLOADERS // len(entries))
                ]
                for upload in uploads:
                    outcome = upload.result()
                    is_broken = BROKEN_HEADER in outcome.headers
                    self.broken_answers += outcome.complete and is_broken
                target.answer = draw_answer(self._random)
        target.stop()
        self._fleet.start_target(instance)

    def _upload(self, entry: str) -> Outcome:
        plan = RequestPlan(UPLOAD_PATH, BROADCASTER_KEY, "POST", body=UPLOAD)
        return self._fleet.send(entry, plan)

    def _drain_target(self, instance: str) -> None:
        self._fleet.drain_target(instance)
        bound = time.time() + DRAIN_SLACK_S
        time.sleep(FAULT_S)
        self._replace_drained(instance, bound)

    def _drain_and_kill(self, instance: str) -> None:
        """Kill the daemon of a drained target while the store is away."""
        self._fleet.set_store_faults({"down": True})
        self._fleet.drain_target(instance)
        bound = time.time() + DRAIN_SLACK_S
        self._fleet.get_daemon(instance).kill()
        self._fleet.start_daemon(instance)
        for _ in range(LATE_ANNOUNCEMENTS):
            self._fleet.deliver_late_announcement(instance)
            time.sleep(FAULT_S / LATE_ANNOUNCEMENTS)
        self._fleet.set_store_faults({"down": False})
        time.sleep(FAULT_S)
        self._replace_drained(instance, bound)

    def _drain_and_kill_all(self, instance: str) -> None:
        """Kill all daemons after a target was drained while the store is away."""
        self._fleet.set_store_faults({"down": True})
        self._fleet.drain_target(instance)
        bound = time.time() + DRAIN_SLACK_S
        self._restart_all()
        for _ in range(LATE_ANNOUNCEMENTS):
            self._fleet.deliver_late_announcement(instance)
            time.sleep(FAULT_S / LATE_ANNOUNCEMENTS)
        self._fleet.set_store_faults({"down": False})
        for name in self._fleet.members:
            self._fleet.wait_until_healthy(name)
        time.sleep(FAULT_S)
        self._replace_drained(instance, bound)

    def _accept_odd_and_kill_all(self, instance: str) -> None:
        """
        Withdraw a key by a configuration with an odd name; then kill all daemons.

        Count the daemons that go on with the version before.
        """
        self._odd_names += 1
        name = ODD_NAMES[self._odd_names % len(ODD_NAMES)]
        wait_until(
            lambda: read_configuration(self._fleet, instance).version == self._version,
            f"version {self._version} is in force",
        )
        configuration = read_configuration(self._fleet, instance)
        configuration = name_organisation(configuration, name)
        if self._keys:
            text = next(iter(self._keys))
            withdrawn = replace(self._keys.pop(text), withdrawn=True)
            configuration = add_key(configuration, withdrawn)
            self.withdrawn[text] = time.time()
        state_configuration(self._fleet, configuration)
        self._version += 1
        self._restart_all()
        for each in self._fleet.members:
            self._fleet.wait_until_healthy(each)
        self.stale_daemons += self._count_stale()

    def _count_stale(self) -> int:
        """Return the number of daemons without the newest version after IN_FORCE_S."""
        until = time.monotonic() + IN_FORCE_S
        stale = set(self._fleet.members)
        while stale and time.monotonic() < until:
            time.sleep(POLL_INTERVAL_S)
            stale = {
                each
                for each in stale
                if read_configuration(self._fleet, each).version < self._version
            }
        return len(stale)

    def _restart_all(self) -> None:
        """Kill all daemons and start them again."""
        names = list(self._fleet.members)
        for name in names:
            self._fleet.get_daemon(name).kill()
        daemons = [self._fleet.launch_daemon(name) for name in names]
        for daemon in daemons:
            daemon.wait_until_logged(STARTED_LINE)

    def _stop_beside_slow_readers(self, instance: str) -> None:
        """Stop a daemon while callers read slowly; count the answers that it cuts."""
        host, port = self._fleet.members[instance].get_address("caller").split(":")
        began = f"{time.monotonic():.6f}"
        readers = [
            SlowReader(
                (host, int(port)),
                LARGE_ANSWER_PATH,
                BROADCASTER_KEY,
                [f"slow-{began}-{number}-{place}" for place in range(SENT_AHEAD)],
                READ_BYTES_PER_S,
            )
            for number in range(SLOW_READERS)
        ]
        for reader in readers:
            reader.start()
        time.sleep(self._random.uniform(0.0, READ_BEFORE_STOP_MAX_S))
        self._fleet.get_daemon(instance).stop()
        runs = self._fleet.count_runs()
        self._fleet.start_daemon(instance)
        for reader in readers:
            reader.hurry.set()
            reader.join()
            ran = {name for name in reader.request_ids if runs[name]}
            self.cut_answers += len(ran - reader.answered.keys())

    def _replace_drained(self, instance: str, bound: float) -> None:
        """Count what a drained target ran after a Unix time, then replace it."""
        starts = (e["started_at"] for e in self._fleet.list_executions(instance))
        late = [at for at in starts if isinstance(at, float) and at > bound]
        self.runs_after_drain += len(late)
        self._crash_target(instance)

    def _fail_store(self, name: str, fault: object, repaired: object) -> None:
        self._fleet.set_store_faults({name: fault})
        time.sleep(FAULT_S)
        self._fleet.set_store_faults({name: repaired})

    def _restore_store(self) -> None:
        """Let the store be away, and then come back from an older copy."""
        self._fleet.set_store_faults({"down": True})
        time.sleep(FAULT_S)
        age_s = FAULT_S + self._random.uniform(*COPY_AGE_S)
        self._fleet.set_store_faults({"down": False, "restore_age_s": age_s})

    def _change_limit(self) -> None:
        limit = self._random.choice(LIMITS)
        self._publish(Delta(services=(Service(CATALOGUE, limit, limit),)))

    def _withdraw_key(self) -> None:
        if not self._keys:
            return
        text = next(iter(self._keys))
        self._publish(Delta(keys=(replace(self._keys.pop(text), withdrawn=True),)))
        self.withdrawn[text] = time.time()

    def _publish(self, delta: Delta) -> None:
        self._fleet.publish(build_change(self._version, delta))
        self._version += 1


def name_key(number: int) -> KeyId:
    """Return the id of one of the keys to be withdrawn."""
    return KeyId(f"leaving-{number}")
