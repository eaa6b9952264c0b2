"""Record the requests that a target executed, so that tests can count them."""

import threading
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass

KEPT_EXECUTIONS = 20_000


@dataclass(frozen=True)
class Execution:
    """One request that a target began to execute; `started_at` is Unix time."""

    request_id: str
    organisation: str
    method: str
    path: str
    headers: Mapping[str, str]
    body_bytes: int
    body_digest: str
    started_at: float


class ExecutionLog:
    """Store the latest executions and the number of executions per request."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._newest: deque[Execution] = deque(maxlen=KEPT_EXECUTIONS)
        self._runs: Counter[str] = Counter()
        self._organisations: Counter[str] = Counter()
        self._incomplete = 0

    def add(self, execution: Execution) -> None:
        """Count one execution."""
        with self._lock:
            self._newest.append(execution)
            self._runs[execution.request_id] += 1
            self._organisations[execution.organisation] += 1

    def add_incomplete(self) -> None:
        """Count a request with a truncated body; such a request is not executed."""
        with self._lock:
            self._incomplete += 1

    def list_newest(self) -> list[dict[str, object]]:
        """Return the latest executions as JSON objects, oldest first."""
        with self._lock:
            return [asdict(execution) for execution in self._newest]

    def summarize(self) -> dict[str, object]:
        """Return the executions per request and the totals as a JSON object."""
        with self._lock:
            return {
                "executions": self._runs.total(),
                "incomplete": self._incomplete,
                "runs": dict(self._runs),
                "organisations": dict(self._organisations),
            }
