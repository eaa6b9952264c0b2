"""Run daemons as separate processes on loopback."""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from urllib3 import HTTPConnectionPool

from corianderhold.cli.client import AdminClient
from emulator.sample import BROADCASTER, build_records
from measurements.spread.changes import LIMIT_S, SETTLE_S, summarize_times
from tests.common.fleet import ADMIN_TOKEN, DaemonPlan, Fleet

WITHDRAWALS = 5
CHECK_INTERVAL_S = 0.01


def measure_processes(daemons: int, domains: int) -> dict[str, float]:
    """Return when all daemons reported withdrawals in force."""
    plans = [
        DaemonPlan(f"i{number}", f"d{number % domains}", log_level="warning")
        for number in range(daemons)
    ]
    with TemporaryDirectory(prefix="corianderhold-") as directory:
        fleet = Fleet(plans, Path(directory))
        try:
            fleet.start(build_records())
            return measure_withdrawals(fleet)
        finally:
            fleet.stop()


def measure_withdrawals(fleet: Fleet) -> dict[str, float]:
    """Grant and withdraw keys through one daemon and poll all daemons."""
    addresses = [member.get_address("admin") for member in fleet.members.values()]
    client = AdminClient(f"http://{addresses[0]}", ADMIN_TOKEN)
    times: list[float] = []
    for _ in range(WITHDRAWALS):
        grant = {"organisation": BROADCASTER, "author": "measurement"}
        key_id = client.call("POST", "/v1/keys", grant).unwrap().body["key_id"]
        time.sleep(SETTLE_S)
        path = f"/v1/keys/{key_id}/withdraw"
        withdrawn = client.call("POST", path, {"author": "measurement"}).unwrap()
        accepted_at = time.monotonic()
        times += await_version(addresses, withdrawn.body["version"], accepted_at)
    spread = summarize_times(sorted(times))
    return {"withdrawal_99_s": spread.most_s, "withdrawal_all_s": spread.all_s}


def await_version(
    addresses: Sequence[str], version: int, accepted_at: float
) -> list[float]:
    """Return the seconds until a version is in force, for each daemon."""

    def await_one(address: str) -> float:
        host, _, port = address.partition(":")
        pool = HTTPConnectionPool(host, int(port), maxsize=1)
        while time.monotonic() < accepted_at + LIMIT_S:
            health = pool.request("GET", "/health", retries=False).json()
            if health["version"] >= version:
                return time.monotonic() - accepted_at
            time.sleep(CHECK_INTERVAL_S)
        return float("inf")

    with ThreadPoolExecutor(len(addresses)) as watchers:
        return list(watchers.map(await_one, addresses))
