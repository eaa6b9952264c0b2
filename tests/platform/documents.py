"""Build the operator's documents for tests."""

import json
from typing import Any

ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_s",
    "target_latency_s",
    "priority",
    "service",
    "max_attempts",
    "allow_anonymous",
    "traffic_split",
]
SAFE_ROUTE = ["r-1", "A.example", "/a/", "safe", 0.8, 1.2, 2, "s1", 2, None, None]
SPLIT = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
SPLIT_ROUTE = ["r-2", "b.example", "/b/", "unsafe", 1, 1.5, 0, None, 2, True, SPLIT]


def write_document(version: int, **changes: Any) -> bytes:  # noqa: ANN401
    """Return a document of two routes, two services and one organisation."""
    document = {
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": [SAFE_ROUTE, SPLIT_ROUTE]},
        "services": {
            "columns": ["name", "health_check_path", "max_connections"],
            "rows": [["s1", "/healthz", 694], ["s2", "/healthz", 178]],
        },
        "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": [["t1", ["key-one", "key-two"], 1, 178, 89]],
        },
    }
    return json.dumps({**document, **changes}).encode()
