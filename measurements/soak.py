"""
Run a soak test of a small fleet of real processes under random faults.

Six daemons in three failure domains, each with a target, serve requests of every kind
during a sequence of faults, drains and changes drawn from the seed. The executions
counted at the targets are then checked against the responses.
"""

import random
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from corianderhold.ids import FailureDomainId, OrganisationId
from corianderhold.state.configuration.model import ApiKey, Organisation
from corianderhold.state.configuration.records import Delta
from corianderhold.state.keys.const import KEY_PREFIX, SECRET_BYTES
from corianderhold.state.keys.digest import digest_secret
from emulator.sample import (
    BROADCASTER,
    BROADCASTER_KEY,
    CATALOGUE,
    KEYS,
    ROUTES,
    SCHOOLS,
    SCHOOLS_KEY,
    SERVICES,
    build_change,
)
from measurements.endurance.checks import count_breaches, count_outcomes, find_bound
from measurements.endurance.events import Events, name_key
from measurements.endurance.traffic import READ_PATH, WRITE_PATH, Traffic
from measurements.report import Target, judge_figures, print_figures
from tests.common.fleet import DaemonPlan, Fleet, RequestPlan
from tests.common.waiting import wait_until

DOMAINS = tuple(FailureDomainId(f"ch-west-{letter}") for letter in "abc")
DAEMONS_EACH = 2
PLANS = tuple(
    DaemonPlan(
        f"{domain}-{number}",
        domain,
        CATALOGUE,
        slots=16,
        relay_peer=True,
        target_id=f"{domain}-{number}",
    )
    for domain in DOMAINS
    for number in range(DAEMONS_EACH)
)
RATE = 2000.0
SECRET = "4d" * SECRET_BYTES
LEAVING_KEYS = 6
SECONDS = 60.0
SENDERS = 8
SETTLE_S = 10.0
TARGETS = [
    Target("ran_twice", highest=0),
    Target("refused_ran", highest=0),
    Target("withdrawn_ran", highest=0),
    Target("crossed_answers", highest=0),
    Target("runs_after_drain", highest=0),
    Target("cut_answers", highest=0),
    Target("broken_answers", highest=0),
    Target("crashes_max", highest=3),
    Target("stale_daemons", highest=0),
    Target("recovery_s", highest=15.0),
]


def build_leaving_keys() -> dict[str, ApiKey]:
    """Return the keys to be withdrawn, by their full text."""
    keys = {}
    for number in range(LEAVING_KEYS):
        key = ApiKey(name_key(number), SCHOOLS, digest_secret(SECRET))
        keys[f"{KEY_PREFIX}_{key.key_id}_{SECRET}"] = key
    return keys


def build_organisation(name: OrganisationId) -> Organisation:
    """Return an organisation with equal shares of its rate in all domains."""
    shares = {domain: 1 / len(DOMAINS) for domain in DOMAINS}
    return Organisation(name, RATE, RATE, shares=shares)


def measure(fleet: Fleet, seed: int, seconds: float) -> dict[str, float]:
    """Load the fleet under faults for `seconds` and return the figures."""
    leaving = build_leaving_keys()
    organisations = tuple(map(build_organisation, (BROADCASTER, SCHOOLS)))
    delta = Delta(SERVICES, ROUTES, organisations, (*KEYS, *leaving.values()))
    fleet.start([build_change(0, delta)])
    await_service(fleet)
    time.sleep(SETTLE_S)
    traffic = Traffic(fleet, seed, [BROADCASTER_KEY, SCHOOLS_KEY, *leaving])
    events = Events(fleet, random.Random(seed), leaving)
    with ThreadPoolExecutor(SENDERS) as senders:
        running = [
            senders.submit(traffic.send_until_stopped, n) for n in range(SENDERS)
        ]
        try:
            events.run(time.monotonic() + seconds)
            recovery_s = await_service(fleet)
        finally:
            traffic.stop()
        for future in running:
            future.result()
    wait_until(lambda: is_idle(fleet), "the targets are idle")
    bounds = {
        key: find_bound(at, events.faults) for key, at in events.withdrawn.items()
    }
    return {
        **count_breaches(traffic.sent, fleet.count_runs(), bounds),
        "runs_after_drain": float(events.runs_after_drain),
        "cut_answers": float(events.cut_answers),
        "broken_answers": float(events.broken_answers),
        "crashes_max": float(events.crashes_max),
        "stale_daemons": float(events.stale_daemons),
        "recovery_s": recovery_s,
        **count_outcomes(traffic.sent, events.withdrawn),
        **{f"event_{name}": float(n) for name, n in sorted(events.counts.items())},
    }


def await_service(fleet: Fleet) -> float:
    """Wait until each entry serves reads and writes; return the elapsed seconds."""
    began_at = time.monotonic()
    for path, method in ((READ_PATH, "GET"), (WRITE_PATH, "POST")):
        plan = RequestPlan(path, BROADCASTER_KEY, method)
        fleet.wait_until_served(list(fleet.members), plan)
    return time.monotonic() - began_at


def is_idle(fleet: Fleet) -> bool:
    """Return whether the targets' execution counts have stopped changing."""
    before = fleet.count_runs()
    time.sleep(0.5)
    return before == fleet.count_runs()


def main(seed: int, seconds: float = SECONDS) -> int:
    """Run one soak test; return 1 if a guarantee was violated or recovery was slow."""
    with TemporaryDirectory(prefix="corianderhold-") as directory:
        fleet = Fleet(PLANS, Path(directory))
        try:
            figures = measure(fleet, seed, seconds)
        finally:
            fleet.stop()
    print_figures("soak", seed, dict(figures))
    return 0 if judge_figures(figures, TARGETS) else 1
