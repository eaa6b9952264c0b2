"""Publish changes, and show the configuration and its history."""

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
    """Who publishes and why, for the audit trail."""

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
    Publish a draft and print what became of it.

    With --base, a draft that lost a race is made anew from the version in force,
    unless others changed the same entities. Exits with 0 when it was accepted, 1 when
    it was refused, 3 when that is unknown and 2 when a file can't be used.

    :param draft: the draft, as `answers diff` prints it
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param author: who publishes, for the audit trail
    :param note: why, for the audit trail
    :param change_id: id of the change, to repeat one whose outcome is unknown
    :param base: the configuration that the draft was made from, as `show` prints it
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    try:
        client = open_client(url, token_file)
        wanted = read_draft(draft)
        origin = None if base is None else read_configuration(base)
    except (TokenError, ValueError) as error:
        return stop(str(error))
    authorship = Authorship(author, note)
    for _ in range(REBASES_MAX):
        body = publish_draft(client, wanted, authorship, change_id)
        if origin is None or body.get("reason") != "lost_race":
            break
        rebased = rebase(client, wanted, origin)
        if isinstance(rebased, Err):
            return stop(rebased.err_value, EXIT_FAILED)
        wanted, origin = rebased.ok_value
        change_id = ""
    print_json(body)
    return EXIT_CODES[body["outcome"]]


def show(*, url: str, token_file: Path | None = None) -> int:
    """
    Print the configuration in force in a daemon as JSON.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", "/v1/configuration", url, token_file)


def history(*, url: str, limit: int = 50, token_file: Path | None = None) -> int:
    """
    Print the newest changes with author, time, note and outcome, the newest first.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param limit: highest number of changes
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", f"/v1/changes?limit={limit}", url, token_file)


def explain(change_id: str, *, url: str, token_file: Path | None = None) -> int:
    """
    Print what became of a change, and why it was refused.

    :param change_id: id of the change, as `publish` printed it
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    path = f"/v1/changes/{quote(change_id, safe='')}"
    return request_and_print("GET", path, url, token_file)


def read_draft(path: Path) -> Draft:
    """Return the draft in a file; raise ValueError when there is none."""
    decoded = decode_draft(read_text(path))
    if isinstance(decoded, Err):
        raise ValueError(f"{path}: is no draft: {decoded.err_value.detail}")
    return decoded.ok_value


def read_configuration(path: Path) -> Configuration:
    """Return the configuration in a file; raise ValueError when there is none."""
    decoded = decode_configuration(read_text(path))
    if isinstance(decoded, Err):
        raise ValueError(f"{path}: is no configuration: {decoded.err_value.detail}")
    return decoded.ok_value


def read_text(path: Path) -> str:
    """Return the text of a file; raise ValueError when it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ValueError(f"{path}: can't be read: {error}") from None


def publish_draft(
    client: AdminClient, draft: Draft, authorship: Authorship, change_id: str
) -> JsonObject:
    """Publish a draft under one change id and return what became of it."""
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
        answer = reply.ok_value.body
    else:
        answer = describe_failure(reply, change_id)
    if answer["outcome"] == "unknown":
        return read_back(client, change_id) or answer
    return answer


def describe_failure(reply: Result[Reply, CallFailure], change_id: str) -> JsonObject:
    """Return the outcome of a request that was answered with none."""
    if isinstance(reply, Ok):
        outcome = "unknown" if reply.ok_value.status >= 500 else "refused"
        detail = describe_error(reply.ok_value)
    else:
        outcome = "unknown" if reply.err_value.sent else "refused"
        detail = reply.err_value.detail
    return {"change_id": change_id, "outcome": outcome, "detail": detail}


def read_back(client: AdminClient, change_id: str) -> JsonObject | None:
    """Return what became of a change, None while the log does not show it."""
    for _ in range(READ_BACK_ATTEMPTS):
        time.sleep(READ_BACK_PAUSE_S)
        reply = client.call("GET", f"/v1/changes/{quote(change_id, safe='')}")
        if isinstance(reply, Ok) and "outcome" in reply.ok_value.body:
            return reply.ok_value.body
    return None


def rebase(
    client: AdminClient, draft: Draft, base: Configuration
) -> Result[tuple[Draft, Configuration], str]:
    """Return the draft made anew from the version in force, or why that can't be."""
    reply = client.call("GET", "/v1/configuration")
    if isinstance(reply, Err):
        return Err(f"no answer: {reply.err_value.detail}")
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
    """Return which entities both the draft and others changed."""
    names = "\n".join(f"{each.kind.value} {each.name}" for each in conflicts)
    return f"changed by others up to version {current.version}:\n{names}"
