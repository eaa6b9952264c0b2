"""Call the administration API of one daemon."""

import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
)

from corianderhold.cli.const import (
    ANSWER_BYTES_MAX,
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    EXIT_CODES,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    TOKEN_VARIABLE,
)
from corianderhold.errors import CorianderholdError
from corianderhold.nesting import load_json

JsonObject = dict[str, Any]


class TokenError(CorianderholdError):
    """The token for the administration API is missing or unusable."""


@dataclass(frozen=True)
class Reply:
    """Status and JSON body of a response."""

    status: int
    body: JsonObject


@dataclass(frozen=True)
class CallFailure:
    """Why there is no usable response; if `sent`, the request may have arrived."""

    sent: bool
    detail: str


class AdminClient:
    """Send requests with the operators' token, without retries."""

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        self._pool = PoolManager(timeout=timeout, retries=False)

    def call(
        self, method: str, path: str, body: JsonObject | None = None
    ) -> Result[Reply, CallFailure]:
        """Send one request and return the response."""
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=data,
                headers=self._headers,
                preload_content=False,
            )
            value = load_json(read_bounded(response))
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(CallFailure(False, str(error)))
        except (HTTPError, ValueError) as error:
            return Err(CallFailure(True, str(error)))
        if not isinstance(value, dict):
            return Err(
                CallFailure(
                    True,
                    f"the response is not a JSON object, but {type(value).__name__}",
                )
            )
        return Ok(Reply(response.status, value))


def read_bounded(response: BaseHTTPResponse) -> bytes:
    """Return the body; raise `HTTPError`, also for over ANSWER_BYTES_MAX bytes."""
    try:
        data = response.read(ANSWER_BYTES_MAX + 1)
    finally:
        response.close()
    if len(data) > ANSWER_BYTES_MAX:
        raise ProtocolError(f"response exceeds {ANSWER_BYTES_MAX} bytes")
    return data


def open_client(url: str, token_file: Path | None) -> AdminClient:
    """
    Return a client with the token from the file or the environment.

    Raise `TokenError` if there is no usable token.
    """
    if token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    else:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise TokenError(f"{token_file}: cannot be read: {error}") from None
    if not token or not token.isascii() or not token.isprintable():
        message = "a token of printable ASCII characters is needed: set --token-file or"
        raise TokenError(f"{message} the environment variable {TOKEN_VARIABLE}")
    return AdminClient(url, token)


def print_json(value: JsonObject) -> None:
    """Print a JSON value, indented and with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def stop(message: str, exit_code: int = EXIT_USAGE) -> int:
    """Print an error message to stderr and return the exit code."""
    print(message, file=sys.stderr)
    return exit_code


def describe_error(reply: Reply) -> str:
    """Format an error response, with one line per detail."""
    error = reply.body.get("error", {})
    lines = [f"{reply.status}: {error.get('message', 'no message')}"]
    return "\n".join([*lines, *map(str, error.get("details", ()))])


def request_and_print(
    method: str,
    path: str,
    url: str,
    token_file: Path | None,
    body: JsonObject | None = None,
) -> int:
    """
    Send one request, print the response and return the exit code.

    For a change, the code is 0 if it was accepted, 1 if it was refused and 3 if its
    outcome is unknown.
    """
    try:
        client = open_client(url, token_file)
    except TokenError as error:
        return stop(str(error))
    reply = client.call(method, path, body)
    if isinstance(reply, Err):
        may_have_applied = reply.err_value.sent and method != "GET"
        exit_code = EXIT_UNKNOWN if may_have_applied else EXIT_FAILED
        return stop(f"no response: {reply.err_value.detail}", exit_code)
    response_body = reply.ok_value.body
    if "error" in response_body:
        return stop(describe_error(reply.ok_value), EXIT_FAILED)
    print_json(response_body)
    if method == "GET" or "outcome" not in response_body:
        return EXIT_OK
    return EXIT_CODES[response_body["outcome"]]
