"""Check the JSON objects of the configuration stream."""

import re
from collections.abc import Callable

from voluptuous import ALLOW_EXTRA, All, Any, In, Invalid, Maybe, Optional, Schema

from corianderhold.state.configuration.const import (
    MAX_AUTHOR_LENGTH,
    MAX_BODY_BYTES,
    MAX_BURST,
    MAX_CALLER_TIMEOUT_S,
    MAX_CONCURRENCY,
    MAX_CONNECTIONS,
    MAX_DEADLINE_MS,
    MAX_HEADER_BYTES,
    MAX_HOST_LENGTH,
    MAX_ISOLATED_AFTER_S,
    MAX_NAME_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_PATH_LENGTH,
    MAX_QUEUE_LENGTH,
    MAX_RATE_PER_S,
    MAX_RETRY_BUDGET,
    MAX_SPLIT_WEIGHT,
    MAX_UNIX_TIME_S,
    MAX_WEIGHT,
    MIN_CALLER_TIMEOUT_S,
    MIN_HEADER_BYTES,
)
from corianderhold.state.configuration.model import Importance, IsolatedBehaviour

NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
DIGEST_PATTERN = re.compile(r"[A-Za-z0-9$:_-]{1,256}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
PATH_PATTERN = re.compile(r"/|(/(?!\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,=:@-]+)+/?")
HOST_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]*|\[[0-9a-f:.]+\]|")

Validator = Callable[[object], object]


def match(pattern: re.Pattern[str], wanted: str) -> Validator:
    """Return a check that a whole text matches `pattern`."""

    def check(value: object) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise Invalid(f"expected {wanted}")
        return value

    return check


def bound_text(length: int) -> Validator:
    """Return a check of free text of at most `length` printable characters."""

    def check(value: object) -> str:
        if not isinstance(value, str) or len(value) > length:
            raise Invalid(f"expected text of at most {length} characters")
        if value and not value.isprintable():
            raise Invalid("expected printable text")
        return value

    return check


def bound_integer(lowest: int, highest: int) -> Validator:
    """Return a check of a whole number within bounds."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise Invalid("expected a whole number")
        if not lowest <= value <= highest:
            raise Invalid(f"expected a whole number from {lowest} to {highest}")
        return value

    return check


def bound_number(lowest: float, highest: float) -> Validator:
    """Return a check of a finite number within bounds."""

    def check(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise Invalid("expected a number")
        if not lowest <= value <= highest:  # also false for NaN
            raise Invalid(f"expected a number from {lowest:g} to {highest:g}")
        return float(value)

    return check


def require_boolean(value: object) -> bool:
    """Return a Boolean value as it is; raise Invalid for anything else."""
    if not isinstance(value, bool):
        raise Invalid("expected true or false")
    return value


NAME = match(
    NAME_PATTERN,
    f"1 to {MAX_NAME_LENGTH} letters, digits, dots, dashes or underscores",
)
PATH = All(
    bound_text(MAX_PATH_LENGTH),
    match(PATH_PATTERN, "a path from / without empty or dot segments"),
)
HOST = All(
    bound_text(MAX_HOST_LENGTH),
    match(HOST_PATTERN, "a host in lower case without its port, or nothing"),
)
IMPORTANCE = In([each.name.lower() for each in Importance])
VERSION = bound_integer(0, 2**63 - 1)

SERVICE_FIELDS = {
    "name": NAME,
    "max_concurrency": bound_integer(1, MAX_CONCURRENCY),
    "queue_length": bound_integer(0, MAX_QUEUE_LENGTH),
    "retry_ratio": bound_number(0.0, 1.0),
    "adaptive_limit": require_boolean,
    Optional("max_connections"): Maybe(bound_integer(1, MAX_CONNECTIONS)),
}
SPLIT = {"service": NAME, "weight": bound_number(0.0, MAX_SPLIT_WEIGHT)}
ROUTE_FIELDS = {
    "name": NAME,
    "service": Any("", NAME),
    "path_prefix": PATH,
    "methods": [match(METHOD_PATTERN, "a method in capitals")],
    "importance": IMPORTANCE,
    "open_to_all": require_boolean,
    "organisations": [NAME],
    "idempotent": require_boolean,
    "deadline_ms": bound_integer(1, MAX_DEADLINE_MS),
    "retry_budget": bound_integer(0, MAX_RETRY_BUDGET),
    "isolated": In([each.value for each in IsolatedBehaviour]),
    "isolated_after_s": bound_number(0.0, MAX_ISOLATED_AFTER_S),
    "calls": [NAME],
    Optional("host"): HOST,
    Optional("splits"): [SPLIT],
    Optional("anonymous"): require_boolean,
    Optional("target_latency_ms"): Maybe(bound_integer(1, MAX_DEADLINE_MS)),
}
ORGANISATION_FIELDS = {
    "name": NAME,
    "rate": bound_number(0.0, MAX_RATE_PER_S),
    "burst": bound_number(0.0, MAX_BURST),
    "weight": bound_number(0.001, MAX_WEIGHT),
    "shares": Schema({NAME: bound_number(0.0, 1.0)}, required=False),
    Optional("importance"): Maybe(IMPORTANCE),
}
KEY_FIELDS = {
    "key_id": NAME,
    "organisation": NAME,
    "digest": match(DIGEST_PATTERN, "a digest"),
    "withdrawn": require_boolean,
    "expires_at": Maybe(bound_number(0.0, MAX_UNIX_TIME_S)),
}
CALLER_TIMEOUT_S = bound_number(MIN_CALLER_TIMEOUT_S, MAX_CALLER_TIMEOUT_S)
LIMITS_FIELDS = {
    "header_bytes_max": bound_integer(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
    "body_bytes_max": bound_integer(0, MAX_BODY_BYTES),
    "header_timeout_s": CALLER_TIMEOUT_S,
    "idle_timeout_s": CALLER_TIMEOUT_S,
}
ENTITIES = {
    "services": [Schema(SERVICE_FIELDS, required=True)],
    "routes": [Schema(ROUTE_FIELDS, required=True)],
    "organisations": [Schema(ORGANISATION_FIELDS, required=True)],
    "keys": [Schema(KEY_FIELDS, required=True)],
    Optional("limits"): Schema(LIMITS_FIELDS, required=True),
}
REMOVED = {
    "services": [NAME],
    "routes": [NAME],
    "organisations": [NAME],
    "keys": [NAME],
}
REMEMBERED = {
    "change_id": NAME,
    "version": Maybe(VERSION),
    "author": bound_text(MAX_AUTHOR_LENGTH),
}
CONFIGURATION = {"version": VERSION, **ENTITIES}

CONFIGURATION_SCHEMA = Schema(CONFIGURATION, required=True)
DELTA = {
    "set": Schema(ENTITIES, required=False),
    "removed": Schema(REMOVED, required=False),
}
DRAFT_SCHEMA = Schema({"base_version": VERSION, **DELTA}, required=True)
CHANGE_SCHEMA = Schema(
    {
        "change_id": NAME,
        "base_version": VERSION,
        "author": bound_text(MAX_AUTHOR_LENGTH),
        "made_at": bound_number(0.0, MAX_UNIX_TIME_S),
        "note": bound_text(MAX_NOTE_LENGTH),
        **DELTA,
    },
    required=True,
)
SNAPSHOT_SCHEMA = Schema(
    {
        "configuration": CONFIGURATION,
        "folded_to": bound_integer(-1, 2**63 - 1),
        "digest": match(DIGEST_PATTERN, "a digest"),
        "remembered": [REMEMBERED],
    },
    required=True,
)
ENVELOPE_SCHEMA = Schema(
    {"format": bound_integer(1, 2**31), "kind": str, "body": dict},
    required=True,
    extra=ALLOW_EXTRA,
)
