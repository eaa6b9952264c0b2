"""Implement the commands that publish changes and show the configuration history."""

import time
from dataclasses import dataclass
from pathlib import Path
from secrets import token_hex
from urllib.parse import quote

from result import Err, Ok, Result

from corianderhold.cli.client import (
    AdminClient,
    CallFailure,
    JsonObject,
    Reply,
    TokenError,
    describe_error,
    open_client,
    print_json,
    request_and_print,
    stop,
)
from corianderhold.cli.const import (
    CHANGE_ID_BYTES,
    EXIT_CODES,
    EXIT_FAILED,
    READ_BACK_ATTEMPTS,
    READ_BACK_PAUSE_S,
    REBASES_MAX,
)
from corianderhold.log import format_value
from corianderhold.state.configuration.codec import decode_configuration, decode_draft
from corianderhold.state.configuration.difference import EntityName, rebase_draft
from corianderhold.state.configuration.entities import (
    delta_to_json,
    dump_json,
)
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import Draft


@dataclass(frozen=True)
class Authorship:
    """The author and note of a change, for the audit trail."""

    author: str
    note: str


def publish(
    draft: Path,
    *,
    url: str,
    author: str,
    note: str = "",
    change_id: str = "",
    base: Path | None = None,
    token_file: Path | None = None,
) -> int:
    """
    Publish a draft and print the outcome.

    With --base, a draft that lost a race is rebased onto the version in force, unless
    other changes touched the same entities. Exits with 0 if the draft was accepted, 1
    if it was refused, 3 if the outcome is unknown and 2 if a file cannot be used.

    :param draft: file with the draft, as `answers diff` prints it
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who publishes, for the audit trail
    :param note: why, for the audit trail
    :param change_id: id of the change, to retry one whose outcome is unknown
    :param base: file with the draft's base configuration, as `show` prints it
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    try:
        client = open_client(url, token_file)
        current_draft = read_draft(draft)
        base_configuration = None if base is None else read_configuration(base)
    except (TokenError, ValueError) as error:
        return stop(str(error))
    authorship = Authorship(author, note)
    for _ in range(REBASES_MAX):
        body = publish_draft(client, current_draft, authorship, change_id)
        if base_configuration is None or body.get("reason") != "lost_race":
            break
        rebased = rebase(client, current_draft, base_configuration)
        if isinstance(rebased, Err):
            return stop(rebased.err_value, EXIT_FAILED)
        current_draft, base_configuration = rebased.ok_value
        change_id = ""
    print_json(body)
    return EXIT_CODES[body["outcome"]]


def show(*, url: str, token_file: Path | None = None) -> int:
    """
    Print a daemon's configuration in force as JSON.

    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", "/v1/configuration", url, token_file)


def history(*, url: str, limit: int = 50, token_file: Path | None = None) -> int:
    """
    Print the latest changes with author, time, note and outcome, newest first.

    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param limit: maximum number of changes
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", f"/v1/changes?limit={limit}", url, token_file)


def explain(change_id: str, *, url: str, token_file: Path | None = None) -> int:
    """
    Print the outcome of a change, and why if it was refused.

    :param change_id: id of the change, as `publish` printed it
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    path = f"/v1/changes/{quote(change_id, safe='')}"
    return request_and_print("GET", path, url, token_file)


def read_draft(path: Path) -> Draft:
    """Return the draft in a file; raise ValueError if it is invalid."""
    decoded = decode_draft(read_text(path))
    if isinstance(decoded, Err):
        raise ValueError(f"{path}: not a valid draft: {decoded.err_value.detail}")
    return decoded.ok_value


def read_configuration(path: Path) -> Configuration:
    """Return the configuration in a file; raise ValueError if it is invalid."""
    decoded = decode_configuration(read_text(path))
    if isinstance(decoded, Err):
        raise ValueError(
            f"{path}: not a valid configuration: {decoded.err_value.detail}"
        )
    return decoded.ok_value


def read_text(path: Path) -> str:
    """Return the text of a file; raise ValueError if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ValueError(f"{path}: cannot be read: {error}") from None


def publish_draft(
    client: AdminClient, draft: Draft, authorship: Authorship, change_id: str
) -> JsonObject:
    """Publish a draft under one change id and return the outcome."""
    change_id = change_id or token_hex(CHANGE_ID_BYTES)
    body = {
        "change_id": change_id,
        "author": authorship.author,
        "note": authorship.note,
        "base_version": draft.base_version,
        **delta_to_json(draft.delta),
    }
    reply = client.call("POST", "/v1/changes", body)
    if isinstance(reply, Ok) and "outcome" in reply.ok_value.body:
        report = reply.ok_value.body
    else:
        report = describe_failure(reply, change_id)
    if report["outcome"] == "unknown":
        return read_back(client, change_id) or report
    return report


def describe_failure(reply: Result[Reply, CallFailure], change_id: str) -> JsonObject:
    """
    Derive the outcome of a request whose response has none.

    It is unknown if the daemon may have begun to publish the change.
    """
    if isinstance(reply, Ok):
        outcome = "unknown" if reply.ok_value.status >= 500 else "refused"
        detail = describe_error(reply.ok_value)
    else:
        outcome = "unknown" if reply.err_value.sent else "refused"
        detail = reply.err_value.detail
    return {"change_id": change_id, "outcome": outcome, "detail": detail}


def read_back(client: AdminClient, change_id: str) -> JsonObject | None:
    """Poll for the outcome of a change; return None if the log does not show it."""
    for _ in range(READ_BACK_ATTEMPTS):
        time.sleep(READ_BACK_PAUSE_S)
        reply = client.call("GET", f"/v1/changes/{quote(change_id, safe='')}")
        if isinstance(reply, Ok) and "outcome" in reply.ok_value.body:
            return reply.ok_value.body
    return None


def rebase(
    client: AdminClient, draft: Draft, base: Configuration
) -> Result[tuple[Draft, Configuration], str]:
    """Rebase the draft onto the version in force; on failure return the reason."""
    reply = client.call("GET", "/v1/configuration")
    if isinstance(reply, Err):
        return Err(f"no response: {reply.err_value.detail}")
    decoded = decode_configuration(dump_json(reply.ok_value.body))
    if isinstance(decoded, Err):
        return Err(describe_error(reply.ok_value))
    current = decoded.ok_value
    rebased = rebase_draft(draft, base, current)
    if isinstance(rebased, Err):
        return Err(describe_conflicts(rebased.err_value, current))
    return Ok((rebased.ok_value, current))


def describe_conflicts(
    conflicts: tuple[EntityName, ...], current: Configuration
) -> str:
    """List the entities that the draft and other changes both changed."""
    names = "\n".join(
        f"{each.kind.value} {format_value(each.name)}" for each in conflicts
    )
    return f"also changed by others up to version {current.version}:\n{names}"
