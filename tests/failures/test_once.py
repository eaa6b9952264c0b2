"""
Test that an idempotency key is executed at most once.

Requests with the same key arrive at several entries, are repeated, and continue while
the holder of the key's shard is killed, stopped, paused or cut off.
"""

import time
from collections.abc import Callable

from emulator.sample import BROADCASTER_KEY, CATALOGUE, DOMAIN_A, DOMAIN_B
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.keys import make_key
from tests.common.scenario import FleetTestCase, Sent
from tests.common.waiting import wait_until

INGEST = "/catalogue/ingest"
VICTIM = "a1"
FAULT_S = 10.0  # longer than a takeover
ENTRIES = ("a1", "a2", "b1")


class OnceTests(FleetTestCase):
    """Send requests with idempotency keys to three daemons in two domains."""

    plans = tuple(
        DaemonPlan(instance, domain, CATALOGUE, slots=16, relay_peer=True)
        for instance, domain in (("a1", DOMAIN_A), ("a2", DOMAIN_A), ("b1", DOMAIN_B))
    )
    probes = ("/catalogue/search",)

    def setUp(self) -> None:
        super().setUp()
        wait_until(self.is_every_shard_held, "requests with new keys are executed")

    def is_every_shard_held(self) -> bool:
        """Return whether requests with new keys, on most shards, are all executed."""
        return all(self.send_keyed("a1", make_key())[1].is_whole for _ in range(24))

    def send_keyed(self, entry: str, key: str, query: str = "") -> Sent:
        """Send one request with its key as request id, to count its executions."""
        headers = {"Idempotency-Key": key}
        plan = RequestPlan(INGEST + query, BROADCASTER_KEY, "POST", key, headers)
        return self.send(entry, plan)

    def check_one_run(self, key: str, sent: list[Sent]) -> None:
        """Check that a key ran at most once, and once if a response was whole."""
        runs = self.fleet.count_runs()[key]
        self.assertLessEqual(runs, 1)
        for _, outcome in sent:
            if outcome.is_whole:
                self.assertEqual(runs, 1, outcome)

    def test_same_key_at_all_entries_runs_once(self) -> None:
        for _ in range(10):
            key = make_key()
            futures = [
                self._senders.submit(self.send_keyed, entry, key, "?work_ms=50")
                for entry in ENTRIES * 2
            ]
            sent = [future.result() for future in futures]
            sent += [self.send_keyed(entry, key, "?work_ms=50") for entry in ENTRIES]
            self.assertTrue(all(outcome.is_whole for _, outcome in sent[-3:]), sent)
            self.check_one_run(key, sent)

    def test_reused_key_of_another_request_is_refused(self) -> None:
        key = make_key()
        first = self.send_keyed("a1", key)
        other = self.send_keyed("b1", key, "?work_ms=1")[1]
        self.assertEqual((other.status, other.verdict), (400, "not_run"))
        self.check_one_run(key, [first])

    def test_keys_run_once_when_the_holder_is_killed(self) -> None:
        daemon = self.fleet.get_daemon(VICTIM)
        self.check_keys_across(daemon.kill, lambda: self.fleet.start_daemon(VICTIM))

    def test_keys_run_once_when_the_holder_is_stopped(self) -> None:
        daemon = self.fleet.get_daemon(VICTIM)
        self.check_keys_across(daemon.stop, lambda: self.fleet.start_daemon(VICTIM))

    def test_keys_run_once_when_the_holder_is_paused(self) -> None:
        daemon = self.fleet.get_daemon(VICTIM)
        self.check_keys_across(daemon.freeze, daemon.thaw)

    def test_keys_run_once_when_the_holder_is_cut_off(self) -> None:
        relay = self.fleet.get_peer_relay(VICTIM)
        self.check_keys_across(relay.cut, relay.heal)

    def check_keys_across(
        self, fail: Callable[[], object], repair: Callable[[], object]
    ) -> None:
        """Send the same keys before, during and after a fault of the holder."""
        keys = [make_key() for _ in range(30)]
        sent = {key: [self.send_keyed("b1", key)] for key in keys}
        fail()
        try:
            ends_at = time.monotonic() + FAULT_S
            while time.monotonic() < ends_at:
                for key in keys:
                    sent[key].append(self.send_keyed("b1", key))
        finally:
            repair()
        for key in keys:
            sent[key].append(self.send_keyed("a2", key))
            self.check_one_run(key, sent[key])
