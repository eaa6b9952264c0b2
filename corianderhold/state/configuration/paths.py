"""Normalise the hosts and paths of requests for route matching."""

import re
from urllib.parse import quote, unquote_to_bytes

from result import Err, Ok, Result

from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.const import MAX_REQUEST_PATH_LENGTH

UNESCAPED = "A-Za-z0-9_.~!$&'()*+,=:@-"
SAFE_CHARACTERS = "_.~!$&'()*+,=:@-"
CANONICAL_PATH = re.compile(rf"/(?:(?!\.{{1,2}}(?:/|\Z))[{UNESCAPED}]+(?:/|\Z))*")
SEGMENT = re.compile(rf"(?:[{UNESCAPED}]|%[0-9A-Fa-f]{{2}})+")
FORBIDDEN_DECODED = re.compile(r"[/\\;\x00-\x1f\x7f]|%[0-9A-Fa-f]{2}")
VISIBLE = re.compile("[!-~]*")
HEALTH_PATH = re.compile(r"/[^\x00-\x1f\x7f]*")
VISIBLE_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))
DOT_SEGMENTS = frozenset({".", ".."})


def normalise_path(raw: str) -> Result[str, Reason]:
    """
    Return the canonical form of a request path without its query.

    Routes are matched on the canonical form; the target receives the path as the caller
    sent it. Unnecessary percent-encoding is decoded, and the rest uses upper-case
    hexadecimal digits. Paths that a target might interpret differently are rejected as
    malformed: empty or dot segments, path parameters, encoded separators, control
    characters, double encoding and bytes that are not UTF-8.
    """
    if len(raw) > MAX_REQUEST_PATH_LENGTH:
        return Err(Reason.REQUEST_MALFORMED)
    if CANONICAL_PATH.fullmatch(raw):
        return Ok(raw)
    if not raw.startswith("/"):
        return Err(Reason.REQUEST_MALFORMED)
    segments = raw[1:].split("/")
    trailing = [""] if len(segments) > 1 and segments[-1] == "" else []
    if trailing:
        segments.pop()
    canonical = [_normalise_segment(each) for each in segments]
    if None in canonical:
        return Err(Reason.REQUEST_MALFORMED)
    return Ok("/".join(["", *(each or "" for each in canonical), *trailing]))


def is_health_path(value: object) -> bool:
    """Return whether a health check can be sent to a path, once it is encoded."""
    return isinstance(value, str) and HEALTH_PATH.fullmatch(value) is not None


def encode_target(path: str) -> str:
    """Return a path with the percent encoding of what can't stand in a request line."""
    return path if VISIBLE.fullmatch(path) else quote(path, safe=VISIBLE_CHARACTERS)


def normalise_host(raw: str) -> str:
    """Return the host of a Host header in lower case and without the port."""
    host = raw.strip().lower()
    if host.startswith("["):
        return host[: host.find("]") + 1]
    return host.partition(":")[0]


def _normalise_segment(raw: str) -> str | None:
    if not SEGMENT.fullmatch(raw):
        return None
    try:
        decoded = unquote_to_bytes(raw).decode()
    except UnicodeDecodeError:
        return None
    if decoded in DOT_SEGMENTS or FORBIDDEN_DECODED.search(decoded):
        return None
    return quote(decoded, safe=SAFE_CHARACTERS)
