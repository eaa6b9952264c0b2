"""Test the load generator."""

import json
from unittest import TestCase

import urllib3

from emulator.callers import (
    Arrival,
    LoadGenerator,
    LoadPlan,
    RetryMode,
    generate_arrivals,
    read_attempt,
)
from emulator.ledger import Ledger
from emulator.web import Answer, Request, WebServer

PLAN = LoadPlan(
    addresses=(),
    keys=("k1@3", "k2@1"),
    paths=("/catalogue/search",),
    method="POST",
    rate=200.0,
    duration_s=0.5,
    retries=1,
    retry_mode=RetryMode.HARD,
    idempotency_keys=True,
    timeout_s=10.0,
)


class RefusingHandler:
    """Reject the first attempt of each request and serve the second."""

    def __init__(self) -> None:
        self.seen: set[str] = set()

    def handle(self, request: Request) -> Answer:
        """Handle one attempt."""
        request_id = request.headers["X-Request-Id"]
        first = request_id not in self.seen
        self.seen.add(request_id)
        verdict = "not_run" if first else "whole"
        headers = {"X-Corianderhold-Verdict": verdict, "Retry-After": "1"}
        return Answer(503 if first else 200, (), 0, headers)


class LoadGeneratorTests(TestCase):
    """Send calls to an in-process server."""

    def test_same_seed_gives_same_arrivals(self) -> None:
        plan = self._build_plan("127.0.0.1:1")
        arrivals = generate_arrivals(plan, seed=7)
        self.assertEqual(arrivals, generate_arrivals(plan, seed=7))
        self.assertNotEqual(arrivals, generate_arrivals(plan, seed=8))
        self.assertLess(arrivals[-1].at_s, plan.duration_s)

    def test_ledger_has_every_call_with_its_attempts(self) -> None:
        handler = RefusingHandler()
        server = WebServer("refusing", "127.0.0.1", 0, 8)
        server.bind(handler)
        server.start()
        self.addCleanup(server.stop)
        plan = self._build_plan(server.address)
        arrivals = generate_arrivals(plan, seed=7)
        ledger = Ledger()
        LoadGenerator(plan, arrivals, ledger).run(workers=8)
        calls = [json.loads(line) for line in ledger.format_lines().splitlines()]
        self.assertEqual({call["request_id"] for call in calls}, handler.seen)
        verdicts = [[a["verdict"] for a in call["attempts"]] for call in calls]
        self.assertEqual(verdicts, [["not_run", "whole"]] * len(arrivals))
        self.assertIn(f"good={len(arrivals)} ", ledger.summarize(7, 1.0))

    def test_answer_to_another_request_is_wrong(self) -> None:
        arrival = Arrival(0.0, "r1", "", "", "")
        headers = {"X-Corianderhold-Verdict": "whole", "X-Emulator-Request-Id": "r2"}
        response = urllib3.HTTPResponse(status=200, headers=headers)
        self.assertEqual(read_attempt(arrival, response, 0.0).verdict, "wrong_answer")

    def _build_plan(self, address: str) -> LoadPlan:
        values = {**vars(PLAN), "addresses": (address,)}
        return LoadPlan(**values)
