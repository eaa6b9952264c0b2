"""Describe a small deployment for the demo, tests and measurements."""

from corianderhold.ids import (
    FailureDomainId,
    OrganisationId,
    RouteName,
    ServiceName,
)
from corianderhold.state.configuration.model import (
    Importance,
    Organisation,
    Route,
    Service,
)

DOMAIN_A = FailureDomainId("ch-west-a")
DOMAIN_B = FailureDomainId("ch-west-b")
BROADCASTER = OrganisationId("broadcaster")
SCHOOLS = OrganisationId("schools")
BROADCASTER_KEY = "key-of-the-broadcaster"
SCHOOLS_KEY = "key-of-the-schools"
UNKNOWN_KEY = "key-of-nobody"
CATALOGUE = ServiceName("catalogue")
RIGHTS = ServiceName("rights")
TRANSCRIPTS = ServiceName("transcripts")
SHARES = {DOMAIN_A: 0.5, DOMAIN_B: 0.5}
READ = frozenset({"GET"})
WRITE = frozenset({"POST"})

SERVICES = (
    Service(CATALOGUE, max_concurrency=8, queue_length=8),
    Service(RIGHTS, max_concurrency=8, queue_length=8),
    Service(TRANSCRIPTS, max_concurrency=8, queue_length=8),
)
ROUTES = (
    Route(RouteName("search"), CATALOGUE, "/catalogue/search", READ),
    Route(RouteName("browse"), CATALOGUE, "/catalogue/browse", READ, Importance.BULK),
    Route(
        RouteName("ingest"),
        CATALOGUE,
        "/catalogue/ingest",
        WRITE,
        idempotent=False,
        deadline_ms=4000,
    ),
    Route(RouteName("lookup"), RIGHTS, "/rights/lookup", READ, Importance.CRITICAL),
    Route(
        RouteName("grant"),
        RIGHTS,
        "/rights/grant",
        WRITE,
        Importance.HIGH,
        idempotent=False,
    ),
    Route(RouteName("read"), TRANSCRIPTS, "/transcripts/read", READ),
)
ORGANISATIONS = (
    Organisation(BROADCASTER, rate=2000.0, burst=4000.0, shares=SHARES),
    Organisation(SCHOOLS, rate=2000.0, burst=4000.0, shares=SHARES),
)
KEYS = {BROADCASTER: BROADCASTER_KEY, SCHOOLS: SCHOOLS_KEY}
