"""Wait for conditions with a time limit."""

import time
from collections.abc import Callable

WAIT_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.02


class ConditionTimeoutError(AssertionError):
    """Raised when a condition does not hold within the limit."""


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = WAIT_LIMIT_S
) -> None:
    """Poll until `condition` holds; raise ConditionTimeoutError after `limit_s`."""
    limit = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > limit:
            raise ConditionTimeoutError(f"not within {limit_s} s: {what}")
        time.sleep(POLL_INTERVAL_S)
