"""
Test the requests of the local target to the outgoing listener.

A forged context would run calls on behalf of another organisation, and a retry budget
that is not refunded would run out over a sequence of nested calls.
"""

import json
from collections import Counter
from dataclasses import replace
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.coordination.entry.outgoing import (
    ANNOUNCE_PATH,
    DRAIN_PATH,
    OutgoingApplication,
)
from corianderhold.coordination.entry.request import RequestReader
from corianderhold.coordination.entry.request_handler import RequestHandler
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.membership.errors import DepartureUnconfirmedError
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import RouteName, ServiceName, Version
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration, Route, TrafficSplit
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.web.server import ENVIRON_SOCKET
from tests.common.calls import (
    RecordingRegistrar,
    RefusingRouter,
    call_application,
    make_context,
)

THREADS = 16
LOOKUP = Route(
    RouteName("lookup"),
    ServiceName("rights"),
    "/rights/lookup",
    frozenset({"POST"}),
    retry_budget=1,
)


class OutgoingTests(TestCase):
    """Send requests as the local target."""

    def setUp(self) -> None:
        clock = SystemClock()
        watch = CallerWatch(lambda call_id: None)
        self.router = RefusingRouter()
        reader = RequestReader(HeaderNames(), "")
        intake = RequestHandler(
            "nested_call", self.router, watch, clock, Metrics(), THREADS, reader
        )
        self.registrar = RecordingRegistrar()
        self.holder = ConfigurationHolder()
        self.holder.replace(Configuration(Version(1), routes=(LOOKUP,)))
        self.calls = InFlightCalls()
        self.application = OutgoingApplication(
            intake,
            self.holder,
            self.calls,
            self.registrar,
            CalleeCircuitBreaker(clock),
            clock,
        )

    def post(self, path: str, body: bytes, **headers: str) -> bytes:
        environ = {"REQUEST_METHOD": "POST", "REQUEST_URI": path, **headers}
        self.status, _, response = call_application(self.application, environ, body)
        return response

    def test_announcement_and_drain_are_passed_on(self) -> None:
        announcement = {"service": "rights", "address": "127.0.0.1:9000"}
        self.post(ANNOUNCE_PATH, json.dumps(announcement).encode())
        self.post(
            ANNOUNCE_PATH, json.dumps({**announcement, "restarted": True}).encode()
        )
        self.assertEqual(self.status, "204 No Content")
        target = (ServiceName("rights"), Address("127.0.0.1", 9000))
        expected = [TargetAnnouncement(*target, started=start) for start in (0, 1)]
        self.assertEqual(self.registrar.announced, expected)
        self.post(DRAIN_PATH, b"")
        self.assertEqual((self.registrar.drains, self.registrar.withdrawn), (1, []))
        self.assertEqual(self.status, "204 No Content")
        self.registrar.error = DepartureUnconfirmedError("t1")
        self.post(DRAIN_PATH, b"")
        self.assertEqual(self.status, "503 Service Unavailable")

    def test_malformed_announcement_is_refused_with_its_error(self) -> None:
        for body in (
            b"",
            b"{",
            b"[]",
            b'{"service": "rights"}',
            b'{"service": "rights", "address": "localhost:1"}',
            b'{"service": "rights", "address": "127.0.0.1:1", "restarted": 1}',
        ):
            response = self.post(ANNOUNCE_PATH, body)
            self.assertTrue(self.status.startswith("400"), body)
            self.assertIn(b"announcement", response)
        self.assertEqual(self.registrar.announced, [])

    def call(self, route: Route, parent: InFlightCall) -> bytes:
        return self.post(
            route.path_prefix,
            b"",
            HTTP_X_CORIANDERHOLD_CONTEXT=parent.token,
            **{ENVIRON_SOCKET: "unused"},
        )

    def test_nested_calls_are_split_by_weight(self) -> None:
        weights = {"rights": 3.0, "licences": 1.0}
        splits = tuple(
            TrafficSplit(ServiceName(each), weights[each]) for each in weights
        )
        route = replace(LOOKUP, service=ServiceName(""), splits=splits)
        self.holder.replace(Configuration(Version(2), routes=(route,)))
        parent = InFlightCall(make_context(deadline_at=1e9), RetryBudget(8))
        self.calls.add(parent)
        for _ in range(40):
            self.call(route, parent)
        services = Counter(each.service for each in self.router.routed)
        self.assertEqual(services, {"rights": 30, "licences": 10})

    def test_unused_budget_of_a_nested_call_is_refunded(self) -> None:
        parent = InFlightCall(make_context(deadline_at=1e9), RetryBudget(8))
        self.calls.add(parent)
        response = self.call(LOOKUP, parent)
        self.assertEqual(json.loads(response)["reason"], "no_target")
        self.assertEqual(parent.retries.left, 8)

    def test_forged_context_is_refused(self) -> None:
        for token in ("", "0" * 32):
            response = self.post(
                "/rights/lookup", b"", HTTP_X_CORIANDERHOLD_CONTEXT=token
            )
            self.assertTrue(self.status.startswith("403"))
            self.assertEqual(json.loads(response)["reason"], "context_unknown")
