"""Call the administration API of one daemon."""

import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from corianderhold.cli.const import (
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

JsonObject = dict[str, Any]


class TokenError(CorianderholdError):
    """No token for the administration API was given."""


@dataclass(frozen=True)
class Reply:
    """Status and JSON body of an answer."""

    status: int
    body: JsonObject


@dataclass(frozen=True)
class CallFailure:
    """Why no answer came; `sent` says that the request may have arrived."""

    sent: bool
    detail: str


class AdminClient:
    """Send requests with the operators' token; none is repeated."""

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        self._pool = PoolManager(timeout=timeout, retries=False)

    def call(
        self, method: str, path: str, body: JsonObject | None = None
    ) -> Result[Reply, CallFailure]:
        """Send one request and return its answer."""
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pool.request(
                method, self._url + path, body=data, headers=self._headers
            )
            value = json.loads(response.data)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(CallFailure(False, str(error)))
        except (HTTPError, ValueError) as error:
            return Err(CallFailure(True, str(error)))
        if not isinstance(value, dict):
            return Err(CallFailure(True, "the answer is no JSON object"))
        return Ok(Reply(response.status, value))


def open_client(url: str, token_file: Path | None) -> AdminClient:
    """Return a client with the token of the file or the environment."""
    if token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    else:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise TokenError(f"{token_file}: can't be read: {error}") from None
    if not token or not token.isascii() or not token.isprintable():
        message = f"a token is needed: --token-file, or {TOKEN_VARIABLE} in the"
        raise TokenError(f"{message} environment")
    return AdminClient(url, token)


def print_json(value: JsonObject) -> None:
    """Print a JSON value for people and programs."""
    print(json.dumps(value, indent=2, sort_keys=True))


def stop(message: str, exit_code: int = EXIT_USAGE) -> int:
    """Print why a command stops and return its exit code."""
    print(message, file=sys.stderr)
    return exit_code


def describe_error(reply: Reply) -> str:
    """Return the text of an error answer, one line for each detail."""
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
    Send one request, print its answer and return the exit code.

    A change exits with 0 when it was accepted, 1 when refused and 3 when unknown.
    """
    try:
        client = open_client(url, token_file)
    except TokenError as error:
        return stop(str(error))
    reply = client.call(method, path, body)
    if isinstance(reply, Err):
        in_doubt = reply.err_value.sent and method != "GET"
        exit_code = EXIT_UNKNOWN if in_doubt else EXIT_FAILED
        return stop(f"no answer: {reply.err_value.detail}", exit_code)
    answer = reply.ok_value.body
    if "error" in answer:
        return stop(describe_error(reply.ok_value), EXIT_FAILED)
    print_json(answer)
    if method == "GET" or "outcome" not in answer:
        return EXIT_OK
    return EXIT_CODES[answer["outcome"]]
