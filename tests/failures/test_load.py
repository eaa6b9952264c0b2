"""
Test that metrics stay available while the caller listener is overloaded.

It guards against metrics that arrive late or stop advancing when callers send more
than a daemon can serve, so that operators could not observe the overload.
"""

import time

from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until
from tests.common.web import send_request

ENTRY = "entry"
SEARCH = "/catalogue/search"
ANSWER_LIMIT_S = 1.0
SAMPLES = 8
PAUSE_S = 0.25
CALLERS = 256
RATE = 2000
ANSWERED = "corianderhold_request_answered_total"
SHED = "corianderhold_request_refused_shed_total"
TIMED = "corianderhold_request_time_seconds_count"


class LoadTests(FleetTestCase):
    """Send more load than a daemon and its target can serve."""

    plans = (DaemonPlan(ENTRY, "ch-west-a", service="catalogue"),)
    probes = (SEARCH,)

    def read_metrics(self) -> dict[str, float]:
        """Return the metrics by name; check that they arrive within the limit."""
        url = f"http://{self.fleet.members[ENTRY].get_address('admin')}/metrics"
        started_at = time.monotonic()
        outcome = send_request("GET", url)
        self.assertLess(time.monotonic() - started_at, ANSWER_LIMIT_S)
        self.assertEqual(outcome.status, 200)
        lines = outcome.body.decode().splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
        return {name: float(value) for name, value in pairs}

    def test_metrics_respond_quickly_and_advance_under_overload(self) -> None:
        load = ["--rate", str(RATE), "--workers", str(CALLERS), "--duration-s", "60"]
        paths = ["--keys", BROADCASTER_KEY, "--paths", f"{SEARCH}?work_ms=20"]
        callers = self.fleet.start_callers(ENTRY, [*paths, *load])
        self.addCleanup(callers.kill)
        wait_until(lambda: SHED in self.read_metrics(), "the daemon sheds calls")
        samples = []
        for _ in range(SAMPLES):
            samples.append(self.read_metrics())
            time.sleep(PAUSE_S)
        for name in (ANSWERED, SHED, TIMED):
            values = [sample[name] for sample in samples]
            self.assertEqual(values, sorted(values), name)
            self.assertGreater(values[-1], values[0], name)
