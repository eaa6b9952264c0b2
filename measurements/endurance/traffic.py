"""Send requests of every kind from several threads until stopped."""

import random
import threading
import time
from collections.abc import Sequence
from uuid import UUID

from measurements.endurance.checks import Kind, Sent
from tests.common.fleet import Fleet, RequestPlan
from tests.common.keys import make_key

READ_PATH = "/catalogue/search?work_ms=5"
WRITE_PATH = "/catalogue/ingest?work_ms=20"
PAUSE_S = 0.02
ATTEMPTS_MAX = 3  # per keyed request


class Traffic:
    """Send requests with the callers' `keys` and record every response."""

    def __init__(self, fleet: Fleet, seed: int, keys: Sequence[str]) -> None:
        self._fleet = fleet
        self._seed = seed
        self._keys = keys
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.sent: list[Sent] = []

    def stop(self) -> None:
        """Tell the senders to stop."""
        self._stopped.set()

    def send_until_stopped(self, number: int) -> None:
        """Send requests of random kinds to random entries, one after another."""
        rng = random.Random(f"{self._seed}/{number}")
        while not self._stopped.wait(PAUSE_S):
            self._send_one(rng)

    def _send_one(self, rng: random.Random) -> None:
        """Send one request; a keyed request is sent up to ATTEMPTS_MAX times."""
        kind, key = rng.choice(list(Kind)), rng.choice(self._keys)
        if kind is not Kind.KEYED:
            name = str(UUID(int=rng.getrandbits(128), version=4))
            self._send(rng, kind, key, name)
            return
        name = make_key()
        for _ in range(rng.randint(1, ATTEMPTS_MAX)):
            self._send(rng, kind, key, name)

    def _send(self, rng: random.Random, kind: Kind, key: str, name: str) -> None:
        entry = rng.choice(list(self._fleet.members))
        headers = {"Idempotency-Key": name} if kind is Kind.KEYED else {}
        reads = kind is Kind.IDEMPOTENT
        path, method = (READ_PATH, "GET") if reads else (WRITE_PATH, "POST")
        sent_at = time.time()
        plan = RequestPlan(path, key, method, name, headers)
        outcome = self._fleet.send(entry, plan)
        answered_id = outcome.headers.get("X-Emulator-Request-Id", "")
        sent = Sent(
            name, kind, key, sent_at, outcome.status, outcome.is_whole, answered_id
        )
        with self._lock:
            self.sent.append(sent)
