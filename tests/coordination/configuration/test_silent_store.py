"""
Test that daemons follow the configuration soon after the store was silent.

A read that was sent while the store was silent never returns, also once the store is
back. Guards against a daemon, or a whole failure domain, that waits for such a read.
"""

from unittest.mock import patch

from corianderhold.coordination.configuration.const import (
    ALL_POLL_DELAY_S,
    POLL_INTERVAL_S,
)
from corianderhold.coordination.configuration.peers import PeerSelector
from tests.coordination.configuration.case import SpreadTestCase

OUTAGE_S = 5.0
STABLE_S = 4.0  # after the outage; from then on, changes are in force in time
IN_FORCE_LIMIT_S = 2.5
SILENCE_DETECTED_S = 4.0  # by the keep-alive probes of the connection
SEEDS = range(1, 13)
RESTARTED = "10.0.1.0"


class SilentStoreTests(SpreadTestCase):
    """Run daemons through a time in which no request to the store is answered."""

    domains = 9

    def silence(self, silent: bool) -> None:
        for way in self.ways.values():
            way.silent = silent

    def start_during_outage(self, seed: int) -> None:
        """Replace the only daemon of a domain while the store is silent."""
        self.seed = seed
        self.setUp()
        self.fleet.run(ALL_POLL_DELAY_S)
        self.silence(True)
        self.fleet.run(1.0)
        self.fleet.kill(self.get_daemon(0))
        self.add_daemon("d0", RESTARTED)
        self.ways[RESTARTED].silent = True
        self.fleet.run(OUTAGE_S - 1.0)
        self.assertEqual(self.fleet.in_force(1), self.daemons)
        self.silence(False)

    def test_domain_that_started_in_a_silent_outage_reads_the_next_change(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.start_during_outage(seed)
                for number in range(1, self.domains):
                    self.fleet.cut("d0", f"d{number}")
                self.fleet.run(STABLE_S)
                self.append_changes(1, 1)
                in_force = self.fleet.run_until(
                    lambda: self.fleet.daemons[RESTARTED].holder.current.version == 2,
                    IN_FORCE_LIMIT_S,
                )
                self.assertTrue(in_force)

    def test_daemon_that_no_longer_polls_does_not_spin_after_a_failed_poll(
        self,
    ) -> None:
        self.fleet.run(ALL_POLL_DELAY_S)
        self.silence(True)
        follower = self.get_daemon(0).follower
        follower.poll_once()
        self.fleet.clock.advance(OUTAGE_S)
        with patch.object(PeerSelector, "is_poller", return_value=False):
            self.assertGreaterEqual(follower.poll_once(), POLL_INTERVAL_S)

    def test_change_is_in_force_soon_after_a_silent_outage_of_any_length(self) -> None:
        for outage_s in (2.0, 5.0, 20.0, 60.0):
            with self.subTest(outage_s=outage_s):
                self.setUp()
                for way in self.ways.values():
                    way.silence_detected_s = SILENCE_DETECTED_S
                self.fleet.run(ALL_POLL_DELAY_S)
                self.silence(True)
                self.fleet.run(outage_s)
                self.silence(False)
                self.fleet.run(STABLE_S)
                self.append_changes(1, 1)
                in_force = self.fleet.run_until(
                    lambda: self.fleet.in_force(2) == self.daemons, IN_FORCE_LIMIT_S
                )
                self.assertTrue(in_force, self.fleet.in_force(2))
