"""Parse request heads; reject anything that two parsers may read differently."""

import re
from dataclasses import dataclass
from functools import lru_cache
from http import HTTPStatus

from corianderhold.transport.web.const import HEADER_NAMES_CACHED
from corianderhold.transport.web.errors import RequestError, bad_request

CRLF = b"\r\n"
CONTROL_CHARACTERS = bytes({*range(0x20), 0x7F} - {ord("\t")})
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Z]+) (/[^ #]*) (HTTP/1\.[01])")
UNSUPPORTED_VERSION = re.compile(r".* HTTP/[0-9](?:\.[0-9])?")
DIGITS = re.compile(r"[0-9]{1,18}")
HTTP_1_0 = "HTTP/1.0"
# Repeating one of these fields would change the meaning of the request.
SINGLE_VALUE_FIELDS = frozenset(
    {
        "HTTP_AUTHORIZATION",
        "HTTP_CONTENT_LENGTH",
        "HTTP_CONTENT_TYPE",
        "HTTP_HOST",
        "HTTP_TRANSFER_ENCODING",
    }
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """
    The head of one request.

    `variables` holds the header fields by their WSGI environment names.
    `content_length` is 0 for a request without a body and for a chunked one.
    """

    method: str
    target: str
    version: str
    variables: dict[str, str]
    content_length: int
    chunked: bool
    closes: bool
    expects_continue: bool


def parse_request_head(data: bytes) -> RequestHead:
    """Parse a head given without its blank line; raise `RequestError`."""
    joined = data.replace(CRLF, b"")
    if len(joined.translate(None, CONTROL_CHARACTERS)) != len(joined):
        raise bad_request("control character in the head")
    line, *fields = data.decode("latin-1").split("\r\n")
    method, target, version = read_request_line(line)
    variables = read_fields(fields)
    if "HTTP_HOST" not in variables and version != HTTP_1_0:
        raise bad_request("missing Host header")
    tokens = list_tokens(variables.get("HTTP_CONNECTION", ""))
    keep_alive = version != HTTP_1_0 or "keep-alive" in tokens
    expected = variables.get("HTTP_EXPECT", "").lower()
    chunked = is_chunked(variables, version)
    return RequestHead(
        method=method,
        target=target,
        version=version,
        variables=variables,
        content_length=read_content_length(variables),
        chunked=chunked,
        closes=not keep_alive or "close" in tokens,
        expects_continue=expected == "100-continue" and version != HTTP_1_0,
    )


def read_request_line(line: str) -> tuple[str, str, str]:
    """Return method, target and version; raise `RequestError` for anything else."""
    matched = REQUEST_LINE.fullmatch(line)
    if matched is not None:
        return matched[1], matched[2], matched[3]
    if UNSUPPORTED_VERSION.fullmatch(line) and not line.endswith(
        ("HTTP/1.0", "HTTP/1.1")
    ):
        status = HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
        raise RequestError(
            status, "unsupported HTTP version; accepted: HTTP/1.0 and HTTP/1.1"
        )
    raise bad_request("malformed request line")


def read_fields(lines: list[str]) -> dict[str, str]:
    """Return the header fields by their WSGI environment names."""
    variables: dict[str, str] = {}
    for line in lines:
        name, colon, text = line.partition(":")
        if not colon:
            raise bad_request("header field without a colon")
        variable = name_variable(name)
        value = text.strip(" \t")
        previous = variables.get(variable)
        if previous is None:
            variables[variable] = value
            continue
        if variable in SINGLE_VALUE_FIELDS:
            raise bad_request(f"repeated {name} header")
        separator = "; " if variable == "HTTP_COOKIE" else ", "
        variables[variable] = previous + separator + value
    variables.pop("", None)
    return variables


@lru_cache(HEADER_NAMES_CACHED)
def name_variable(name: str) -> str:
    """
    Return the name of a header field in the WSGI environment.

    A name with an underscore gives an empty string, as in the environment it could not
    be distinguished from one with a hyphen. Raise `RequestError` for a name that is not
    a token, such as the start of a folded line.
    """
    if not TOKEN.fullmatch(name):
        raise bad_request("malformed header field name")
    if "_" in name:
        return ""
    return "HTTP_" + name.upper().replace("-", "_")


def list_tokens(value: str) -> frozenset[str]:
    """Return the tokens of a comma-separated field, in lower case."""
    if not value:
        return frozenset()
    return frozenset(token.strip().lower() for token in value.split(","))


def is_chunked(variables: dict[str, str], version: str) -> bool:
    """Return whether the body is chunked, the only transfer coding accepted."""
    coding = variables.get("HTTP_TRANSFER_ENCODING")
    if coding is None:
        return False
    if coding.lower() != "chunked" or version == HTTP_1_0:
        raise bad_request("unsupported Transfer-Encoding; accepted: chunked")
    if "HTTP_CONTENT_LENGTH" in variables:
        raise bad_request("both Content-Length and Transfer-Encoding")
    return True


def read_content_length(variables: dict[str, str]) -> int:
    """Return the length of the body in bytes, 0 if none is given."""
    text = variables.get("HTTP_CONTENT_LENGTH")
    if text is None:
        return 0
    if not DIGITS.fullmatch(text):
        raise bad_request("malformed Content-Length")
    return int(text)
