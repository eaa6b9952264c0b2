"""Implement the commands that grant, rotate and withdraw keys."""

from pathlib import Path
from urllib.parse import quote

from corianderhold.cli.client import request_and_print


def grant(
    organisation: str,
    *,
    url: str,
    author: str,
    note: str = "",
    expires_at: float | None = None,
    token_file: Path | None = None,
) -> int:
    """
    Grant a key to an organisation and print it; it cannot be shown again.

    :param organisation: name of the organisation
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who grants it, for the audit trail
    :param note: why, for the audit trail
    :param expires_at: when the key expires, in Unix seconds
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    body = {
        "organisation": organisation,
        "author": author,
        "note": note,
        "expires_at": expires_at,
    }
    return request_and_print("POST", "/v1/keys", url, token_file, body)


def rotate(
    key_id: str,
    *,
    url: str,
    author: str,
    overlap_s: float,
    note: str = "",
    token_file: Path | None = None,
) -> int:
    """
    Grant a replacement for a key, print it, and let the old key expire.

    :param key_id: id of the old key
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who rotates it, for the audit trail
    :param overlap_s: how long both keys are valid, in seconds
    :param note: why, for the audit trail
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    body = {"author": author, "note": note, "overlap_s": overlap_s}
    path = f"/v1/keys/{quote(key_id, safe='')}/rotate"
    return request_and_print("POST", path, url, token_file, body)


def withdraw(
    key_id: str,
    *,
    url: str,
    author: str,
    note: str = "",
    token_file: Path | None = None,
) -> int:
    """
    Withdraw a key permanently.

    :param key_id: id of the key
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who withdraws it, for the audit trail
    :param note: why, for the audit trail
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    body = {"author": author, "note": note}
    path = f"/v1/keys/{quote(key_id, safe='')}/withdraw"
    return request_and_print("POST", path, url, token_file, body)
