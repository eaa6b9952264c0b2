"""
Test how callers' requests are admitted and what is forwarded to the target.

A mistake here lets a caller forge headers, use another organisation's importance or
rate, or keep nested calls of running calls out while root requests get in.
"""

import json
from dataclasses import replace
from unittest import TestCase

from result import Ok, Result

from corianderhold.coordination.entry.application import CallerApplication
from corianderhold.coordination.entry.const import (
    NESTED_RESERVE_RATIO,
    RESERVED_THREADS,
)
from corianderhold.coordination.entry.request import RequestReader
from corianderhold.coordination.entry.request_handler import RequestHandler
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.registry import InFlightCall, InFlightCalls
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import OrganisationId, RouteName, ServiceName, Version
from corianderhold.metrics import Metrics
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.verdict import Refusal
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import (
    Configuration,
    Importance,
    Organisation,
    Route,
)
from corianderhold.state.keys.issue import build_opaque_key
from corianderhold.transport.web.server import ENVIRON_SOCKET
from tests.common.calls import RefusingRouter, call_application, make_context
from tests.common.clock import FakeClock

SCHOOLS = OrganisationId("schools")
PLACES = 10
KEY = "key-of-the-schools"
EXPIRED_KEY = "key-of-last-year"
NAMES = HeaderNames(request_id="Request-Id", deadline_ms="Time-Left")
KEYED = Route(
    RouteName("search"),
    ServiceName("catalogue"),
    "/search",
    frozenset({"GET"}),
    Importance.BULK,
    deadline_ms=2000,
)
OPEN = replace(KEYED, name=RouteName("lookup"), path_prefix="/lookup", anonymous=True)
KEYS = (
    build_opaque_key(KEY, SCHOOLS),
    replace(build_opaque_key(EXPIRED_KEY, SCHOOLS), expires_at=1.0),
)
CONFIGURATION = Configuration(
    Version(1),
    routes=(KEYED, OPEN),
    organisations={SCHOOLS: Organisation(SCHOOLS, 1.0, 1.0)},
    keys={key.key_id: key for key in KEYS},
)


class CountingLimiter:
    """Admit every request and record the charged organisations."""

    def __init__(self) -> None:
        self.charged: list[OrganisationId] = []

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        self.charged.append(organisation)
        return Ok(None)


class CallerApplicationTests(TestCase):
    """Send requests to the entry of a target of the playback service."""

    def setUp(self) -> None:
        self.router = RefusingRouter()
        self.limiter = CountingLimiter()
        self.holder = ConfigurationHolder()
        self.clock = FakeClock()
        self.intake = RequestHandler(
            "request",
            self.router,
            CallerWatch(lambda call_id: None),
            self.clock,
            Metrics(),
            RESERVED_THREADS + PLACES,
            RequestReader(NAMES, "playback"),
            reserve=NESTED_RESERVE_RATIO,
        )
        self.running = InFlightCalls()
        self.application = CallerApplication(
            self.intake,
            self.holder,
            self.limiter,
            CalleeCircuitBreaker(self.clock),
            self.clock,
            self.running,
        )

    def send(self, path: str, key: str | None = None, **headers: str) -> str:
        """Send a request; return its refusal's reason, NO_TARGET if it was routed."""
        environ = {
            "REQUEST_METHOD": "GET",
            "REQUEST_URI": path,
            ENVIRON_SOCKET: None,
            **{f"HTTP_{name.upper()}": value for name, value in headers.items()},
        }
        if key is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {key}"
        status, fields, body = call_application(self.application, environ)
        self.response = (status, fields)
        reason: str = json.loads(body)["reason"]
        return reason

    def configure(self, configuration: Configuration = CONFIGURATION) -> None:
        self.holder.replace(configuration)

    def read_headers(self) -> dict[str, str]:
        headers = self.router.routed[-1].headers
        return {header.name: header.value for header in headers}

    def test_deadline_is_the_shorter_of_the_routes_and_the_callers(self) -> None:
        self.configure()
        for text, expected_s in (
            ("500", 0.5),
            ("9000", 2.0),
            ("", 2.0),
            ("1e3", 2.0),
            ("-5", 2.0),
            ("\u0662", 2.0),
            ("9" * 400, 2.0),
        ):
            self.send("/search", KEY, time_left=text)
            left_s = self.router.routed[-1].deadline_at - self.clock.read_monotonic()
            self.assertAlmostEqual(left_s, expected_s, 6, text)

    def test_daemon_headers_are_set_whatever_the_caller_sent(self) -> None:
        self.configure()
        forged = {
            f"x_corianderhold_{name}": "forged"
            for name in ("organisation", "importance", "context", "caller_service")
        }
        self.send(
            "/search",
            KEY,
            request_id="r-1",
            time_left="500",
            x_corianderhold_expected_target="forged",
            connection="close, X-Once",
            x_once="1",
            accept="text/plain",
            x_key=f"my {KEY}",
            **forged,
        )
        expected = {
            "Request-Id": "r-1",
            "Accept": "text/plain",
            "X-Corianderhold-Caller-Service": "playback",
        }
        self.assertEqual(self.read_headers(), expected)
        self.assertEqual(self.router.routed[-1].request_id, "r-1")
        self.assertEqual(self.response[1]["Request-Id"], "r-1")

    def test_idempotency_key_is_read_under_the_deployments_name(self) -> None:
        environ = {
            "REQUEST_METHOD": "POST",
            "REQUEST_URI": "/refund",
            "HTTP_IDEMPOTENCY_KEY": "k-1",
            "HTTP_ONCE": "k-2",
        }
        cases = {"Idempotency-Key": "k-1", "Once": "k-2", None: None}
        for name, expected in cases.items():
            reader = RequestReader(replace(NAMES, idempotency_key=name), "")
            self.assertEqual(reader.read(environ).idempotency_key, expected)

    def test_anonymous_route_needs_no_key_and_is_not_charged(self) -> None:
        self.configure()
        for key in (None, "unknown-key", EXPIRED_KEY, KEY):
            self.assertEqual(self.send("/lookup", key), "no_target", key)
            self.assertEqual(self.router.routed[-1].organisation, "")
            self.assertNotIn("Authorization", self.read_headers())
        self.assertEqual(self.limiter.charged, [])

    def test_importance_of_the_organisation_overrides_the_routes(self) -> None:
        self.configure()
        self.send("/search", KEY)
        ranked = Organisation(SCHOOLS, 1.0, 1.0, importance=Importance.CRITICAL)
        organisations = {SCHOOLS: ranked}
        self.configure(
            replace(CONFIGURATION, version=Version(2), organisations=organisations)
        )
        self.send("/search", KEY)
        importances = [context.importance for context in self.router.routed]
        self.assertEqual(importances, [Importance.BULK, Importance.CRITICAL])
        self.assertEqual(self.limiter.charged, [SCHOOLS, SCHOOLS])

    def test_root_requests_are_refused_before_nested_calls(self) -> None:
        self.configure()
        gate = self.intake.semaphore
        while gate.try_acquire():
            pass
        self.assertEqual(gate.count, PLACES - PLACES * NESTED_RESERVE_RATIO)
        self.assertEqual(self.send("/search", KEY), "shed")
        self.assertIn("Retry-After", self.response[1])
        self.assertEqual(
            self.send("/lookup"),
            "shed",
            "no call is running that could send nested calls",
        )
        self.running.add(InFlightCall(make_context(), RetryBudget(0)))
        for path, key, reason in (
            ("/search", KEY, "shed"),
            ("/search", None, "shed"),
            ("/none", None, "shed"),
            ("/lookup?page=2", None, "no_target"),
        ):
            self.assertEqual(self.send(path, key), reason, path)
        while gate.try_acquire(reserve=True):
            pass
        self.assertEqual(gate.count, PLACES)
        self.assertEqual(self.send("/lookup"), "shed")
        gate.close()
        self.assertFalse(gate.try_acquire(reserve=True))

    def test_order_of_refusals(self) -> None:
        self.assertEqual(self.send("/none"), "configuration_missing")
        self.assertTrue(self.response[0].startswith("503"))
        self.assertIn("Retry-After", self.response[1])
        self.configure()
        for path, key, reason, status in (
            ("/none", None, "route_unknown", "404"),
            ("/search", None, "key_missing", "401"),
            ("/search", "unknown-key", "key_unknown", "401"),
            ("/search", EXPIRED_KEY, "key_expired", "401"),
        ):
            self.assertEqual(self.send(path, key), reason)
            self.assertTrue(self.response[0].startswith(status), self.response)
        self.assertEqual(self.router.routed, [])
