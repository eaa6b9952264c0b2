"""Describe a small deployment for the demo, tests and measurements."""

import time

from corianderhold.ids import (
    ChangeId,
    FailureDomainId,
    KeyId,
    OrganisationId,
    RouteName,
    ServiceName,
    Version,
)
from corianderhold.state.configuration.codec import encode_change
from corianderhold.state.configuration.model import (
    ApiKey,
    Importance,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.records import ChangeRecord, Delta
from corianderhold.state.keys.const import KEY_PREFIX, SECRET_BYTES
from corianderhold.state.keys.digest import digest_secret

DOMAIN_A = FailureDomainId("ch-west-a")
DOMAIN_B = FailureDomainId("ch-west-b")
BROADCASTER = OrganisationId("broadcaster")
SCHOOLS = OrganisationId("schools")
BROADCASTER_KEY_ID = KeyId("broadcaster-1")
SCHOOLS_KEY_ID = KeyId("schools-1")
BROADCASTER_SECRET = "1b" * SECRET_BYTES
SCHOOLS_SECRET = "2c" * SECRET_BYTES
BROADCASTER_KEY = f"{KEY_PREFIX}_{BROADCASTER_KEY_ID}_{BROADCASTER_SECRET}"
SCHOOLS_KEY = f"{KEY_PREFIX}_{SCHOOLS_KEY_ID}_{SCHOOLS_SECRET}"
UNKNOWN_KEY = f"{KEY_PREFIX}_nobody-1_{BROADCASTER_SECRET}"
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
KEYS = (
    ApiKey(BROADCASTER_KEY_ID, BROADCASTER, digest_secret(BROADCASTER_SECRET)),
    ApiKey(SCHOOLS_KEY_ID, SCHOOLS, digest_secret(SCHOOLS_SECRET)),
)


def build_records() -> list[str]:
    """Return the records that create the sample deployment as version 1."""
    delta = Delta(SERVICES, ROUTES, ORGANISATIONS, KEYS)
    return [build_change(0, delta)]


def build_change(base_version: int, delta: Delta) -> str:
    """Return the record of a change based on `base_version`."""
    change_id = ChangeId(f"sample-{base_version}")
    author, note = "emulator", "sample deployment"
    return encode_change(
        ChangeRecord(change_id, Version(base_version), author, time.time(), note, delta)
    )
