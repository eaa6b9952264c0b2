"""Generate open-loop load: the call rate doesn't depend on response times."""

import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from uuid import UUID

import urllib3

from emulator.ledger import Attempt, Call, Ledger
from emulator.nested import REASON_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER

HARD_RETRY_PAUSE_S = 0.01
POLITE_FIRST_PAUSE_S = 0.1
NO_ANSWER = "no_answer"
NO_VERDICT = "no_verdict"
WRONG_ANSWER = "wrong_answer"


class RetryMode(Enum):
    """How callers retry: after Retry-After and a backoff, or at once."""

    POLITE = "polite"
    HARD = "hard"


@dataclass(frozen=True)
class LoadPlan:
    """Load to generate; `timeout_s` limits each attempt."""

    addresses: Sequence[str]
    keys: Sequence[str]
    paths: Sequence[str]
    method: str
    rate: float
    duration_s: float
    retries: int
    retry_mode: RetryMode
    idempotency_keys: bool
    timeout_s: float


@dataclass(frozen=True)
class Arrival:
    """One call, due `at_s` seconds after the start."""

    at_s: float
    request_id: str
    address: str
    key: str
    path: str


def split_weight(text: str) -> tuple[str, float]:
    """Split "VALUE@WEIGHT"; the weight defaults to 1."""
    value, sign, weight = text.rpartition("@")
    return (value, float(weight)) if sign else (text, 1.0)


def choose_weighted(source: random.Random, choices: Sequence[str]) -> str:
    """Choose one of several "VALUE@WEIGHT" strings and return its value."""
    values, weights = zip(*(split_weight(choice) for choice in choices), strict=True)
    return str(source.choices(values, weights)[0])


def generate_arrivals(plan: LoadPlan, seed: int) -> list[Arrival]:
    """Draw the arrivals of a Poisson process with the plan's rate."""
    source = random.Random(seed)
    arrivals = []
    at_s = source.expovariate(plan.rate)
    while at_s < plan.duration_s:
        arrivals.append(
            Arrival(
                at_s,
                str(UUID(int=source.getrandbits(128), version=4)),
                source.choice(plan.addresses),
                choose_weighted(source, plan.keys),
                choose_weighted(source, plan.paths),
            )
        )
        at_s += source.expovariate(plan.rate)
    return arrivals


class LoadGenerator:
    """Send the arrivals from several workers, each with its own connection pool."""

    def __init__(self, plan: LoadPlan, arrivals: list[Arrival], ledger: Ledger) -> None:
        self._plan = plan
        self._arrivals = iter(arrivals)
        self._ledger = ledger
        self._lock = threading.Lock()
        self._started_at = 0.0

    def run(self, workers: int) -> float:
        """Send all calls and return the elapsed seconds."""
        threads = [threading.Thread(target=self._work) for _ in range(workers)]
        self._started_at = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return time.monotonic() - self._started_at

    def _work(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=self._plan.timeout_s)
        while True:
            with self._lock:
                arrival = next(self._arrivals, None)
            if arrival is None:
                return
            due = self._started_at + arrival.at_s
            time.sleep(max(0.0, due - time.monotonic()))
            attempts = self._send(pool, arrival)
            latency_s = time.monotonic() - due
            self._ledger.add(
                Call(
                    arrival.request_id,
                    arrival.key,
                    arrival.path,
                    arrival.at_s,
                    latency_s,
                    tuple(attempts),
                )
            )

    def _send(self, pool: urllib3.PoolManager, arrival: Arrival) -> list[Attempt]:
        attempts: list[Attempt] = []
        while True:
            attempt = self._attempt(pool, arrival)
            attempts.append(attempt)
            if attempt.is_good or len(attempts) > self._plan.retries:
                return attempts
            time.sleep(self._choose_pause(attempt, len(attempts)))

    def _choose_pause(self, attempt: Attempt, count: int) -> float:
        if self._plan.retry_mode is RetryMode.HARD:
            return HARD_RETRY_PAUSE_S
        backoff: float = POLITE_FIRST_PAUSE_S * 2 ** (count - 1)
        return max(attempt.retry_after_s, backoff)

    def _attempt(self, pool: urllib3.PoolManager, arrival: Arrival) -> Attempt:
        headers = {
            "Authorization": f"Bearer {arrival.key}",
            REQUEST_ID_HEADER: arrival.request_id,
        }
        if self._plan.idempotency_keys:
            headers["Idempotency-Key"] = arrival.request_id
        url = f"http://{arrival.address}{arrival.path}"
        sent_s = time.monotonic() - self._started_at
        try:
            response = pool.request(self._plan.method, url, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return Attempt(0, NO_ANSWER, type(error).__name__, sent_s, 0.0)
        return read_attempt(arrival, response, sent_s)


def read_attempt(
    arrival: Arrival, response: urllib3.BaseHTTPResponse, sent_s: float
) -> Attempt:
    """Classify a response; one that echoes another request's id is a wrong answer."""
    verdict = response.headers.get(VERDICT_HEADER, NO_VERDICT)
    echoed_id = response.headers.get("X-Emulator-Request-Id", arrival.request_id)
    if echoed_id != arrival.request_id:
        verdict = WRONG_ANSWER
    reason = response.headers.get(REASON_HEADER, "")
    retry_after_s = float(response.headers.get("Retry-After", "0"))
    return Attempt(response.status, verdict, reason, sent_s, retry_after_s)


def callers(
    *,
    addresses: list[str],
    keys: list[str],
    paths: list[str],
    rate: float = 50.0,
    duration_s: float = 5.0,
    method: str = "GET",
    retries: int = 0,
    retry_mode: RetryMode = RetryMode.POLITE,
    idempotency_keys: bool = False,
    timeout_s: float = 10.0,
    workers: int = 64,
    ledger: Path | None = None,
    seed: int = 1,
) -> None:
    """
    Send calls at a fixed mean rate and print the totals by verdict.

    :param addresses: caller listeners (ip:port), chosen uniformly at random
    :param keys: API keys of organisations, as KEY or KEY@WEIGHT
    :param paths: paths with query, as PATH or PATH@WEIGHT
    :param rate: new calls per second, regardless of calls in flight
    :param duration_s: seconds during which new calls are sent
    :param method: HTTP method
    :param retries: retries of a failed call
    :param retry_mode: polite honours Retry-After and backs off, hard does neither
    :param idempotency_keys: send an Idempotency-Key with each call
    :param timeout_s: timeout of one attempt in seconds
    :param workers: maximum number of concurrent calls
    :param ledger: file to write one JSON line per call to
    :param seed: seed of the random number generator
    """
    plan = LoadPlan(
        addresses,
        keys,
        paths,
        method,
        rate,
        duration_s,
        retries,
        retry_mode,
        idempotency_keys,
        timeout_s,
    )
    run_plan(plan, workers, ledger, seed)


def run_plan(plan: LoadPlan, workers: int, ledger: Path | None, seed: int) -> None:
    """Send the calls of a plan, print the totals and write the ledger."""
    record = Ledger()
    generator = LoadGenerator(plan, generate_arrivals(plan, seed), record)
    elapsed_s = generator.run(workers)
    print(record.summarize(seed, elapsed_s), flush=True)
    if ledger is not None:
        ledger.write_text(record.format_lines())
