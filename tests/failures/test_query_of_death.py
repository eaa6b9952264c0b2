"""
Test a request that crashes each target that runs it, and comes again and again.

Guards against losing all targets of a service to one request, and against refusing the
requests that ran beside it.
"""

import time
from collections.abc import Sequence

from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase, Sent
from tests.common.waiting import wait_until

DOMAINS = ("ch-west-a", "ch-west-b", "ch-east-a")
OWNERS = tuple(f"o{number}" for number in range(6))
DEADLY = "/catalogue/search?crash=1&work_ms=20"
CRASHES_MAX = 3
REPEATS = 30


class QueryOfDeathTests(FleetTestCase):
    """Run six owners in three domains; each is an entry too."""

    plans = tuple(
        DaemonPlan(name, DOMAINS[number % 3], service="catalogue", service_ms=20.0)
        for number, name in enumerate(OWNERS)
    )
    probes = ("/catalogue/search",)

    def restart_crashed(self) -> None:
        """Restart the targets that have ended, and wait until all entries serve."""
        self.fleet.restart_crashed_targets()
        self.fleet.wait_until_served(
            OWNERS, RequestPlan("/catalogue/search?after", BROADCASTER_KEY)
        )

    def send_deadly(self, entries: Sequence[str]) -> list[Sent]:
        """Send the same request with new ids, one after the other."""
        sent = []
        for number in range(REPEATS):
            plan = RequestPlan(DEADLY, BROADCASTER_KEY)
            sent.append(self.send(entries[number % len(entries)], plan))
            time.sleep(0.03)
        return sent

    def send_others(self, entry: str) -> list[Sent]:
        """Send requests that are no problem, each to a path of its own."""
        sent: list[Sent] = []
        until = time.monotonic() + REPEATS * 0.05
        while time.monotonic() < until:
            path = f"/catalogue/search?n={entry}-{len(sent)}"
            sent.append(self.send(entry, RequestPlan(path, BROADCASTER_KEY)))
            time.sleep(0.02)
        return sent

    def test_request_that_crashes_its_targets_ends_three_at_most(self) -> None:
        futures = [
            self._senders.submit(self.send_others, entry) for entry in OWNERS[:3]
        ]
        deadly = self.send_deadly(OWNERS)
        others = [each for future in futures for each in future.result()]
        crashed = self.fleet.list_crashed_targets()
        self.assertTrue(crashed)
        self.assertLessEqual(len(crashed), CRASHES_MAX, crashed)
        self.assertFalse(any(outcome.is_whole for _, outcome in deadly))
        self.assertEqual(deadly[-1][1].reason, "quarantined")
        self.assertEqual(deadly[-1][1].verdict, "not_run")
        failed = [outcome.reason for _, outcome in others if not outcome.is_whole]
        self.assertLessEqual(len(failed), len(others) // 20, failed)
        self.restart_crashed()
        self.assertFalse(any(o.is_whole for _, o in self.send_deadly(OWNERS)))
        self.assertEqual(self.fleet.list_crashed_targets(), [])
        self.restart_daemons()
        self.assertFalse(any(o.is_whole for _, o in self.send_deadly(OWNERS[:2])))
        self.assertEqual(self.fleet.list_crashed_targets(), [])

    def restart_daemons(self) -> None:
        """Kill two daemons, which forget what they knew, and start them again."""
        for name in OWNERS[:2]:
            self.fleet.get_daemon(name).kill()
            self.fleet.start_daemon(name)
        wait_until(
            lambda: all(
                "call_quarantined" in self.fleet.get_daemon(name).read_log()
                for name in OWNERS[:2]
            ),
            "the daemons that restarted know of the quarantine",
        )
