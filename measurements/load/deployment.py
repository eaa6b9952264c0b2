"""Define the fleet under load: two failure domains and a chain of two services."""

from dataclasses import dataclass
from urllib.parse import quote

from corianderhold.ids import RouteName, ServiceName
from corianderhold.state.configuration.model import (
    Importance,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.records import Delta
from emulator.sample import (
    BROADCASTER,
    KEYS,
    READ,
    SCHOOLS,
    SHARES,
    build_change,
)
from tests.common.fleet import DaemonPlan

FRONT = ServiceName("catalogue")
DEEP = ServiceName("transcripts")
FRONT_SLOTS = 48
FRONT_SERVICE_MS = 2.0
DEEP_SLOTS = 3
DEEP_SERVICE_MS = 50.0
DEEP_LIMIT = 16
FRONT_LIMIT = 48
QUEUE_LENGTH = 16
UNBOUNDED = 10_000
DEADLINE_MS = 2000
RETRY_BUDGET = 2
ROOT_AND_NESTED_CALLS = 2
ATTEMPTS_MAX = ROOT_AND_NESTED_CALLS + RETRY_BUDGET
DEEP_INSTANCES = ("transcripts-a", "transcripts-b")
FRONT_INSTANCES = ("catalogue-a", "catalogue-b")
ENTRIES = FRONT_INSTANCES + DEEP_INSTANCES
DEEP_CAPACITY = len(DEEP_INSTANCES) * DEEP_SLOTS * 1000 / DEEP_SERVICE_MS

NESTED = "?nested=" + quote("/transcripts/read", safe="")
CRITICAL_PATH = "/catalogue/consent" + NESTED
NORMAL_PATH = "/catalogue/search" + NESTED
BULK_PATH = "/catalogue/browse" + NESTED
PATHS = (f"{CRITICAL_PATH}@1", f"{NORMAL_PATH}@6", f"{BULK_PATH}@3")

PLANS = (
    DaemonPlan(
        FRONT_INSTANCES[0],
        "ch-west-a",
        FRONT,
        slots=FRONT_SLOTS,
        service_ms=FRONT_SERVICE_MS,
    ),
    DaemonPlan(
        FRONT_INSTANCES[1],
        "ch-west-b",
        FRONT,
        slots=FRONT_SLOTS,
        service_ms=FRONT_SERVICE_MS,
    ),
    DaemonPlan(
        DEEP_INSTANCES[0],
        "ch-west-a",
        DEEP,
        slots=DEEP_SLOTS,
        service_ms=DEEP_SERVICE_MS,
    ),
    DaemonPlan(
        DEEP_INSTANCES[1],
        "ch-west-b",
        DEEP,
        slots=DEEP_SLOTS,
        service_ms=DEEP_SERVICE_MS,
    ),
)


@dataclass(frozen=True)
class Control:
    """A control policy of the owners, set through the services' configuration."""

    name: str
    deep_limit: int
    front_limit: int
    queue_length: int
    adaptive: bool


CONTROLS = (
    Control("no_control", UNBOUNDED, UNBOUNDED, UNBOUNDED, adaptive=False),
    Control("fixed_limit", DEEP_LIMIT, FRONT_LIMIT, QUEUE_LENGTH, adaptive=False),
    Control("adaptive_limit", DEEP_LIMIT, FRONT_LIMIT, QUEUE_LENGTH, adaptive=True),
)


def build_records(control: Control, rate: float) -> list[str]:
    """Return the configuration; `rate` is requests per second per organisation."""
    services = (
        build_service(FRONT, control.front_limit, control),
        build_service(DEEP, control.deep_limit, control),
    )
    routes = (
        build_route("consent", "/catalogue/consent", Importance.CRITICAL),
        build_route("search", "/catalogue/search", Importance.NORMAL),
        build_route("browse", "/catalogue/browse", Importance.BULK),
        Route(
            RouteName("read"),
            DEEP,
            "/transcripts/read",
            READ,
            deadline_ms=DEADLINE_MS,
            retry_budget=RETRY_BUDGET,
        ),
    )
    organisations = tuple(
        Organisation(name, rate=rate, burst=rate, shares=SHARES)
        for name in (BROADCASTER, SCHOOLS)
    )
    return [build_change(0, Delta(services, routes, organisations, KEYS))]


def build_service(name: ServiceName, limit: int, control: Control) -> Service:
    """Return a service configured for a control policy."""
    return Service(name, limit, control.queue_length, adaptive_limit=control.adaptive)


def build_route(name: str, prefix: str, importance: Importance) -> Route:
    """Return a route of the front service."""
    return Route(
        RouteName(name),
        FRONT,
        prefix,
        READ,
        importance,
        deadline_ms=DEADLINE_MS,
        retry_budget=RETRY_BUDGET,
    )
