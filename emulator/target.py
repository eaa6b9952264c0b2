"""Emulate a target: limited concurrency, nested calls and fault injection."""

import hashlib
import json
import math
import os
import random
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum

from emulator.announcer import Announcer
from emulator.executions import Execution, ExecutionLog
from emulator.nested import (
    CONTEXT_HEADER,
    REQUEST_ID_HEADER,
    NestedCall,
    NestedCaller,
)
from emulator.pattern import generate_pattern
from emulator.web import (
    OK,
    Answer,
    BodyIncompleteError,
    Request,
    WebServer,
    answer_json,
    close_connection,
    wait_for_signal,
)

ORGANISATION_HEADER = "X-Corianderhold-Organisation"
RATE_LIMIT_HEADER = "X-Corianderhold-Rate-Limit"
LEAVING_HEADER = "X-Corianderhold-Leaving"
SPARE_THREADS = 32
STALL_CHECK_S = 0.05
LOGNORMAL_SIGMA = 0.5
DRAIN_LIMIT_S = 10.0
CRASH_EXIT_CODE = 70


class Distribution(Enum):
    """How service times vary around their mean."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"


@dataclass(frozen=True)
class TargetFaults:
    """
    Active faults.

    `slow_factor` multiplies service times for `slow_for_s` seconds, `stall` blocks
    every response while set, `lying_health` reports no load, `truncate_answers`
    closes the connection halfway through every body, `delay_ms` is added to each
    service time. Every response names `rate_limit` unless it is None, and says that the
    target leaves while `leaving` is set. A request with `crash` in its query ends the
    process unless `ignore_crash` is set.
    """

    slow_factor: float = 1.0
    slow_for_s: float = math.inf
    stall: bool = False
    lying_health: bool = False
    truncate_answers: bool = False
    delay_ms: float = 0.0
    rate_limit: float | None = None
    leaving: bool = False
    ignore_crash: bool = False


class ServiceTimes:
    """Draw service times in seconds."""

    def __init__(self, mean_ms: float, distribution: Distribution, seed: int) -> None:
        self._mean_s = mean_ms / 1000
        self._distribution = distribution
        self._random = random.Random(seed)

    def draw(self) -> float:
        """Return the next service time."""
        if self._distribution is Distribution.EXPONENTIAL:
            return self._mean_s * self._random.expovariate(1.0)
        if self._distribution is Distribution.LOGNORMAL:
            factor = self._random.gauss(-(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA)
            return self._mean_s * math.exp(factor)
        return self._mean_s


class Target:
    """Execute requests in a fixed number of slots; the query selects the behaviour."""

    def __init__(
        self, service: str, slots: int, times: ServiceTimes, nested: NestedCaller
    ) -> None:
        self._service = service
        self._slots = threading.BoundedSemaphore(slots)
        self._slot_count = slots
        self._times = times
        self._nested = nested
        self._faults = TargetFaults()
        self._faults_set_at = time.monotonic()
        self._executions = ExecutionLog()
        self._lock = threading.Lock()
        self._in_flight = 0
        self._announcer: Announcer | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold or wait for a slot."""
        return self._in_flight

    def use_announcer(self, announcer: Announcer) -> None:
        """Drain and announce through `announcer` on request."""
        self._announcer = announcer

    def handle(self, request: Request) -> Answer:
        """Route one request."""
        if request.path == "/_emulator/executions":
            return answer_json(200, self._executions.list_newest())
        if request.path == "/_emulator/counts":
            return answer_json(200, self._executions.summarize())
        if request.path == "/_emulator/faults":
            return self._set_faults(request)
        if request.path == "/_emulator/drain" and self._announcer:
            return Answer(204 if self._announcer.drain() else 503, (), 0)
        if request.path == "/_emulator/announce" and self._announcer:
            return Answer(204 if self._announcer.announce() else 503, (), 0)
        if request.path == "/health":
            return self._report_health()
        return self._execute(request)

    def _set_faults(self, request: Request) -> Answer:
        self._faults_set_at = time.monotonic()
        self._faults = replace(self._faults, **json.loads(request.read_body() or b"{}"))
        return Answer(204, (), 0)

    def _report_health(self) -> Answer:
        load = 0 if self._faults.lying_health else self._in_flight
        health = {"status": "ok", "in_flight": load, "slots": self._slot_count}
        return answer_json(200, health)

    def _execute(self, request: Request) -> Answer:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        try:
            execution = self._receive(request, request_id)
        except (BodyIncompleteError, OSError):
            self._executions.add_incomplete()
            raise close_connection() from None
        self._executions.add(execution)
        self._enter()
        try:
            answer = self._work(request, request_id)
        except BaseException:
            self._leave()
            raise
        return replace(answer, body=self._send_body(answer.body))

    def _enter(self) -> None:
        with self._lock:
            self._in_flight += 1
        self._slots.acquire()

    def _leave(self) -> None:
        self._slots.release()
        with self._lock:
            self._in_flight -= 1

    def _send_body(self, body: Iterable[bytes]) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self._leave()

    def _receive(self, request: Request, request_id: str) -> Execution:
        started_at = time.time()
        digest = hashlib.sha256()
        size = 0
        for chunk in request.read_chunks():
            digest.update(chunk)
            size += len(chunk)
        organisation = request.headers.get(ORGANISATION_HEADER, "")
        return Execution(
            request_id,
            organisation,
            request.method,
            request.path,
            request.headers,
            size,
            digest.hexdigest(),
            started_at,
        )

    def _work(self, request: Request, request_id: str) -> Answer:
        time.sleep(self._faults.delay_ms / 1000)
        time.sleep(self._choose_service_time(request))
        if request.read_query("crash") and not self._faults.ignore_crash:
            os._exit(CRASH_EXIT_CODE)
        self._wait_while_stalled()
        context = request.headers.get(CONTEXT_HEADER, "")
        outcomes = [
            self._nested.send(call, context, f"{request_id}.{index}")
            for index, call in enumerate(list_nested_calls(request))
        ]
        failed = any(outcome.status != OK for outcome in outcomes)
        status = 502 if failed else int(request.read_query("status", str(OK)))
        summary = {
            "service": self._service,
            "request_id": request_id,
            "path": request.path,
            "nested": [asdict(outcome) for outcome in outcomes],
        }
        return self._build_answer(request, request_id, status, summary)

    def _choose_service_time(self, request: Request) -> float:
        work_ms = request.read_query("work_ms")
        service_s = float(work_ms) / 1000 if work_ms else self._times.draw()
        faults = self._faults
        is_slow = time.monotonic() - self._faults_set_at < faults.slow_for_s
        return service_s * faults.slow_factor if is_slow else service_s

    def _wait_while_stalled(self) -> None:
        while self._faults.stall:
            time.sleep(STALL_CHECK_S)

    def _build_answer(
        self, request: Request, request_id: str, status: int, summary: object
    ) -> Answer:
        size = int(request.read_query("size", "0"))
        body: Iterable[bytes] = (json.dumps(summary).encode(),)
        kind = "application/json"
        if size:
            body, kind = generate_pattern(request_id, size), "application/octet-stream"
        else:
            size = sum(len(part) for part in body)
        stall_s = float(request.read_query("stall_ms", "0")) / 1000
        truncate = bool(request.read_query("truncate")) or self._faults.truncate_answers
        body = break_body(body, size // 2, stall_s, truncate)
        length = None if request.read_query("chunked") else size
        headers = {"Content-Type": kind, "X-Emulator-Request-Id": request_id}
        if self._faults.rate_limit is not None:
            headers[RATE_LIMIT_HEADER] = str(self._faults.rate_limit)
        if self._faults.leaving:
            headers[LEAVING_HEADER] = "1"
        return Answer(status, body, length, headers)


def list_nested_calls(request: Request) -> list[NestedCall]:
    """Return the nested calls specified by a request's query."""
    method = request.read_query("nested_method", "GET")
    retries = int(request.read_query("nested_retries", "0"))
    paths = request.query.get("nested", [])
    return [NestedCall(path, method, retries) for path in paths]


def break_body(
    body: Iterable[bytes], middle: int, stall_s: float, truncate: bool
) -> Iterator[bytes]:
    """Yield a body; after `middle` bytes pause or close the connection."""
    sent = 0
    broken = not (stall_s or truncate)
    for block in body:
        if not broken and sent + len(block) > middle:
            broken = True
            yield block[: middle - sent]
            time.sleep(stall_s)
            if truncate:
                raise close_connection()
            yield block[middle - sent :]
        else:
            yield block
        sent += len(block)


def target(
    *,
    service: str,
    daemon_outgoing: str,
    host: str = "127.0.0.1",
    port: int = 0,
    slots: int = 8,
    service_ms: float = 1.0,
    distribution: Distribution = Distribution.CONSTANT,
    seed: int = 1,
    announced_address: str = "",
    announced_id: str = "",
) -> None:
    """
    Run a target that announces itself to the local daemon.

    :param service: name of the service that the target belongs to
    :param daemon_outgoing: ip:port of the daemon's outgoing listener
    :param host: address to listen on
    :param port: port to listen on; 0 selects a free port
    :param slots: maximum number of requests executed concurrently
    :param service_ms: mean service time in milliseconds
    :param distribution: distribution of service times
    :param seed: seed of the random number generator
    :param announced_address: ip:port to announce instead of the listening address
    :param announced_id: id of this start of the target to announce; empty for none
    """
    times = ServiceTimes(service_ms, distribution, seed)
    emulated = Target(service, slots, times, NestedCaller(daemon_outgoing))
    server = WebServer("target", host, port, slots + SPARE_THREADS)
    server.bind(emulated)
    address = announced_address or server.address
    announcer = Announcer(daemon_outgoing, service, address, announced_id)
    emulated.use_announcer(announcer)
    server.start()
    server.print_listening()
    announcer.start()
    wait_for_signal()
    announcer.drain()
    wait_until_idle(emulated)
    server.stop()


def wait_until_idle(emulated: Target) -> None:
    """Wait up to DRAIN_LIMIT_S until no request is in flight."""
    limit = time.monotonic() + DRAIN_LIMIT_S
    while emulated.in_flight and time.monotonic() < limit:
        time.sleep(STALL_CHECK_S)
