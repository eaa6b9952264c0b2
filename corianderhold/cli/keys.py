"""Grant, rotate and withdraw keys."""

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
    Grant a key to an organisation and print it; it is shown this once.

    :param organisation: whose key it is
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param author: who grants it, for the audit trail
    :param note: why, for the audit trail
    :param expires_at: when it stops to count, in Unix seconds
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
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
    Grant a successor of a key, print it, and let the old one expire.

    :param key_id: id of the old key
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param author: who rotates it, for the audit trail
    :param overlap_s: how long both keys count, in seconds
    :param note: why, for the audit trail
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
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
    Withdraw a key for good.

    :param key_id: id of the key
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param author: who withdraws it, for the audit trail
    :param note: why, for the audit trail
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    body = {"author": author, "note": note}
    path = f"/v1/keys/{quote(key_id, safe='')}/withdraw"
    return request_and_print("POST", path, url, token_file, body)
