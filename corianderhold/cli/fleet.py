"""Show the fleet and take a target out of service."""

from pathlib import Path

from corianderhold.cli.client import request_and_print


def status(*, url: str, token_file: Path | None = None) -> int:
    """
    Print the fleet as one daemon sees it: versions, members and health.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("GET", "/v1/status", url, token_file)


def drain(*, url: str, token_file: Path | None = None) -> int:
    """
    Take the target beside a daemon out of service.

    :param url: administration API of a daemon, as http://ADDRESS:PORT
    :param token_file: file with the token; else CORIANDERHOLD_TOKEN is used
    """
    return request_and_print("POST", "/v1/drain", url, token_file)
