"""Show the fleet, and take targets and failure domains out of service."""

from pathlib import Path

from corianderhold.cli.client import request_and_print


def status(*, url: str, token_file: Path | None = None) -> int:
    """
    Print the fleet as one daemon sees it: versions, members and health.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
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
    Let the targets of a failure domain get no calls, until that is ended.

    Exits with 0 when the order is in force, 1 when it was refused and 3 when that is
    unknown; an order may be repeated.

    :param domain: name of the failure domain
    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param author: who orders it, for the log
    :param end: end the evacuation
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    body = {"domain": domain, "active": not end, "author": author}
    return request_and_print("POST", "/v1/evacuations", url, token_file, body)


def drain(*, url: str, token_file: Path | None = None) -> int:
    """
    Take the target beside a daemon out of service.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("POST", "/v1/drain", url, token_file)
