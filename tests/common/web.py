"""Send HTTP requests and classify their outcomes."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

import urllib3

ANSWER_TIMEOUT_S = 20.0
READ_BYTES = 65536


@dataclass(frozen=True)
class Outcome:
    """
    Outcome of a request as its caller sees it.

    `complete` tells whether the whole body arrived; `status` is 0 without a response.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def verdict(self) -> str:
        """Return the verdict header, or an empty string."""
        return self.headers.get("X-Corianderhold-Verdict", "")

    @property
    def reason(self) -> str:
        """Return the reason header, or an empty string."""
        return self.headers.get("X-Corianderhold-Reason", "")

    @property
    def is_whole(self) -> bool:
        """Return whether the target's whole response arrived with status 200."""
        return self.complete and self.status == 200 and self.verdict == "whole"

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have been executed."""
        return self.verdict != "not_run"

    def read_json(self) -> dict[str, object]:
        """Return the body as a JSON object."""
        value: dict[str, object] = json.loads(self.body)
        return value


def send_request(
    method: str,
    url: str,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = ANSWER_TIMEOUT_S,
) -> Outcome:
    """Send one request on a new connection and read the whole response."""
    pool = urllib3.PoolManager(retries=False, timeout=timeout_s)
    try:
        answer = pool.request(
            method, url, headers=dict(headers or {}), body=body, preload_content=False
        )
    except urllib3.exceptions.HTTPError as error:
        return Outcome(0, error=repr(error))
    try:
        # A read of the whole would allocate whatever length the response states.
        data = b"".join(answer.stream(READ_BYTES))
    except urllib3.exceptions.HTTPError as error:
        return Outcome(answer.status, answer.headers, error=repr(error))
    finally:
        answer.close()
        pool.clear()
    return Outcome(answer.status, answer.headers, data, complete=True)
