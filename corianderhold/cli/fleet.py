"""Implement the commands that show and operate the fleet."""

from pathlib import Path

from corianderhold.cli.client import request_and_print


def status(*, url: str, token_file: Path | None = None) -> int:
    """
    Print one daemon's view of the fleet: versions, members and health.

    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", "/v1/status", url, token_file)


def evacuate(
    domain: str,
    *,
    url: str,
    author: str,
    end: bool = False,
    token_file: Path | None = None,
) -> int:
    """
    Send no calls to the targets of a failure domain until the evacuation is ended.

    Exits with 0 if the order is in force, 1 if it was refused and 3 if the outcome is
    unknown. Repeating an order is safe.

    :param domain: name of the failure domain
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who orders the evacuation, for the log
    :param end: end the evacuation instead of beginning it
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    body = {"domain": domain, "active": not end, "author": author}
    return request_and_print("POST", "/v1/evacuations", url, token_file, body)


def quarantines(*, url: str, token_file: Path | None = None) -> int:
    """
    Print the calls that are refused because they crashed their targets.

    Only daemons beside a target of the service know of them.

    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", "/v1/quarantines", url, token_file)


def release(
    fingerprint: str, *, url: str, author: str, token_file: Path | None = None
) -> int:
    """
    Release a call from its quarantine, on all daemons of its service.

    :param fingerprint: fingerprint of the call, as printed by `quarantines`
    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param author: who releases it, for the log
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    body = {"fingerprint": fingerprint, "author": author}
    return request_and_print("POST", "/v1/quarantines", url, token_file, body)


def drain(*, url: str, token_file: Path | None = None) -> int:
    """
    Drain the local target of a daemon.

    :param url: URL of a daemon's administration API, as http://ADDRESS:PORT
    :param token_file: file with the token; if not given, CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("POST", "/v1/drain", url, token_file)
