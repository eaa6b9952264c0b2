"""Send an emulated target's nested calls through the local daemon."""

from dataclasses import dataclass

import urllib3

from emulator.web import OK

CONTEXT_HEADER = "X-Corianderhold-Context"
VERDICT_HEADER = "X-Corianderhold-Verdict"
REASON_HEADER = "X-Corianderhold-Reason"
REQUEST_ID_HEADER = "X-Request-Id"
NESTED_TIMEOUT_S = 30.0
KEPT_CONNECTIONS = 128


@dataclass(frozen=True)
class NestedCall:
    """A call to send; `path` includes the query."""

    path: str
    method: str
    retries: int


@dataclass(frozen=True)
class NestedOutcome:
    """Result of a nested call; `status` is 0 if no response arrived."""

    path: str
    status: int
    verdict: str
    reason: str
    attempts: int
    body: str


class NestedCaller:
    """Send calls to the outgoing listener and forward the context unchanged."""

    def __init__(self, daemon_outgoing: str) -> None:
        self._base = f"http://{daemon_outgoing}"
        self._pool = urllib3.PoolManager(
            retries=False, timeout=NESTED_TIMEOUT_S, maxsize=KEPT_CONNECTIONS
        )

    def send(self, call: NestedCall, context: str, request_id: str) -> NestedOutcome:
        """Send one call and retry it after a failure while attempts remain."""
        headers = {REQUEST_ID_HEADER: request_id}
        if context:
            headers[CONTEXT_HEADER] = context
        for attempt in range(1, call.retries + 2):
            outcome = self._attempt(call, headers, attempt)
            if outcome.status == OK:
                break
        return outcome

    def _attempt(
        self, call: NestedCall, headers: dict[str, str], attempt: int
    ) -> NestedOutcome:
        url = self._base + call.path
        try:
            response = self._pool.request(call.method, url, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return NestedOutcome(call.path, 0, "", "", attempt, repr(error))
        return NestedOutcome(
            call.path,
            response.status,
            response.headers.get(VERDICT_HEADER, ""),
            response.headers.get(REASON_HEADER, ""),
            attempt,
            response.data.decode(errors="replace"),
        )
