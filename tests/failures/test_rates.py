"""
Test that an organisation's rate holds over all entries together.

It must not be exceeded while requests arrive in one or both domains, the store is
down or a daemon has been killed, and requests must still be admitted.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import ClassVar

from emulator.sample import CATALOGUE, DOMAIN_A, DOMAIN_B
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.limited import LIMITED_KEY, build_limited
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until

RATE = 40.0
BURST = 40.0
SEARCH = "/catalogue/search"
SURGE_S = 6.0
SENDERS_PER_ENTRY = 4


class RateTests(FleetTestCase):
    """Send several times the rate to four entries in two domains."""

    plans = (
        DaemonPlan("a1", DOMAIN_A, CATALOGUE, slots=32),
        DaemonPlan("a2", DOMAIN_A, CATALOGUE, slots=32),
        DaemonPlan("b1", DOMAIN_B, CATALOGUE, slots=32),
        DaemonPlan("b2", DOMAIN_B, CATALOGUE, slots=32),
    )
    probes = (SEARCH,)
    entry_slots: ClassVar[str] = "0"

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet with one more organisation that has a low rate."""
        super().setUpClass()
        cls.fleet.publish(build_limited(RATE, BURST))
        cls.wait_until_admitted()

    @classmethod
    def wait_until_admitted(cls) -> None:
        """Wait until each entry admits the organisation."""
        for entry in cls.fleet.members:
            wait_until(partial(cls.ask, entry), f"{entry} admits the organisation")

    @classmethod
    def ask(cls, entry: str) -> bool:
        """Return whether one request of the organisation gets a whole response."""
        return cls.fleet.send(entry, RequestPlan(SEARCH, LIMITED_KEY)).is_whole

    def surge(self, entries: list[str]) -> int:
        """Send requests in a closed loop; return the number of whole responses."""

        def send_for_a_while(entry: str) -> int:
            ends_at = time.monotonic() + SURGE_S
            whole = 0
            while time.monotonic() < ends_at:
                whole += self.ask(entry)
            return whole

        with ThreadPoolExecutor(len(entries) * SENDERS_PER_ENTRY) as senders:
            return sum(senders.map(send_for_a_while, entries * SENDERS_PER_ENTRY))

    def check_surge(self, entries: list[str]) -> None:
        """Check that a surge executes at most rate x window + burst requests."""
        runs_before = sum(self.fleet.count_runs().values())
        started_at = time.monotonic()
        whole = self.surge(entries)
        window_s = time.monotonic() - started_at
        runs = sum(self.fleet.count_runs().values()) - runs_before
        self.assertGreaterEqual(runs, whole)
        self.assertLessEqual(runs, RATE * window_s + BURST)
        self.assertGreater(whole, 0)

    def test_rate_holds_in_a_surge_in_both_domains(self) -> None:
        self.check_surge(["a1", "a2", "b1", "b2"])

    def test_rate_holds_in_a_surge_in_one_domain(self) -> None:
        self.check_surge(["a1", "a2"])

    def test_rate_holds_in_a_surge_while_the_store_is_down(self) -> None:
        self.fleet.set_store_faults({"down": True})
        self.addCleanup(self.fleet.set_store_faults, {"down": False})
        self.check_surge(["a1", "a2", "b1", "b2"])

    def test_rate_holds_in_a_surge_after_a_daemon_was_killed(self) -> None:
        self.fleet.get_daemon("a1").kill()
        self.addCleanup(self.wait_until_admitted)
        self.addCleanup(self.fleet.start_daemon, "a1")
        self.check_surge(["a2", "b1", "b2"])


class MemberSlicesTests(RateTests):
    """Repeat the tests with slices sized by the number of known members."""

    entry_slots: ClassVar[str] = "members"

    def test_all_daemons_killed_at_once_serve_again(self) -> None:
        for name in self.fleet.members:
            self.fleet.get_daemon(name).kill()
        for name in self.fleet.members:
            self.fleet.start_daemon(name)
        self.wait_until_served()
        self.wait_until_admitted()
