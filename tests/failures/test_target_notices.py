"""
Test that what a target says of itself binds, also after its daemon was killed.

It guards against targets that get more calls than they name as their limit, and calls
to targets that leave, when the daemon beside them has forgotten what they said.
"""

import time
from collections.abc import Iterable

from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase, Sent
from tests.common.waiting import wait_until

ENTRY, OTHER_ENTRY, OWNER = "entry", "other-entry", "owner"
SEARCH = "/catalogue/search"
RATE = 10.0
OFFERED_S = 4.0
WORKERS = 4
USED_RATIO_MIN = 0.7  # of the limit, beside the pauses of a busy machine


class NoticeCase(FleetTestCase):
    """Run two entries and one owner, whose target has an id."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OTHER_ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-a", service="catalogue", target_id="t-1"),
    )
    probes = (SEARCH,)

    def offer(self, entry: str, until: float) -> list[Sent]:
        """Send one request after the other until a monotonic time."""
        sent = []
        while time.monotonic() < until:
            sent.append(self.send(entry, RequestPlan(SEARCH, BROADCASTER_KEY)))
            time.sleep(0.01)
        return sent

    def offer_from_all(self, seconds: float) -> tuple[list[Sent], float]:
        """Send from both entries; return what was sent and the seconds it took."""
        started = time.monotonic()
        entries = (ENTRY, OTHER_ENTRY) * (WORKERS // 2)
        until = started + seconds
        futures = [self._senders.submit(self.offer, entry, until) for entry in entries]
        sent = [each for future in futures for each in future.result()]
        return sent, time.monotonic() - started

    def wait_until_reason(self, reasons: Iterable[str]) -> None:
        """Wait until each entry refuses a request for one of some reasons."""
        for entry in (ENTRY, OTHER_ENTRY):
            wait_until(
                lambda at=entry: (  # type: ignore[misc]
                    self.send(at, RequestPlan(SEARCH, BROADCASTER_KEY))[1].reason
                    in reasons
                ),
                f"{entry} refuses",
            )

    def restart_owner(self) -> None:
        """Kill the owner and start it again beside its target."""
        self.fleet.get_daemon(OWNER).kill()
        self.fleet.start_daemon(OWNER)

    def count_arrived(self, sent: Iterable[Sent]) -> int:
        """Return how many requests reached the target, and check the verdicts."""
        sent = list(sent)
        self.check_verdicts(sent)
        runs = self.fleet.count_runs()
        return sum(runs[plan.request_id] for plan, _ in sent)


class LimitTests(NoticeCase):
    """Let the target name a limit far below what the entries send."""

    def test_limit_is_kept_and_used_also_after_a_kill_of_its_daemon(self) -> None:
        self.fleet.set_target_faults(OWNER, {"rate_limit": RATE})
        self.addCleanup(self.fleet.set_target_faults, OWNER, {"rate_limit": None})
        self.wait_until_reason(("target_limited",))
        sent, seconds = self.offer_from_all(OFFERED_S)
        arrived = self.count_arrived(sent)
        self.assertLessEqual(arrived, 1.5 * RATE * seconds + 5)
        self.assertGreaterEqual(arrived, USED_RATIO_MIN * RATE * OFFERED_S)
        refused = [outcome for _, outcome in sent if not outcome.is_whole]
        self.assertTrue(all("Retry-After" in each.headers for each in refused))
        self.restart_owner()
        sent, seconds = self.offer_from_all(OFFERED_S)
        self.assertLessEqual(self.count_arrived(sent), 1.5 * RATE * seconds + 5)


class LeavingTests(NoticeCase):
    """Let the target say that it leaves."""

    def test_target_that_leaves_gets_nothing_after_a_kill_while_the_store_is_away(
        self,
    ) -> None:
        self.fleet.set_store_faults({"down": True})
        self.addCleanup(self.fleet.set_store_faults, {"down": False})
        self.fleet.set_target_faults(OWNER, {"leaving": True})
        self.send_until_whole(ENTRY, lambda: RequestPlan(SEARCH, BROADCASTER_KEY))
        self.wait_until_reason(("draining", "no_target"))
        self.restart_owner()
        owner = self.fleet.get_daemon(OWNER)
        wait_until(
            lambda: "event=target_announced" in owner.read_log(),
            "the target is announced to the daemon that restarted",
        )
        sent = self.offer(ENTRY, time.monotonic() + OFFERED_S / 2)
        self.assertEqual(self.count_arrived(sent), 0)
