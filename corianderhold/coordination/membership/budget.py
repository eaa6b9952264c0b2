"""Limit the bytes that a daemon sends with a token bucket."""


class ByteBudget:
    """Token bucket: at most `rate` x seconds + `burst` bytes in any interval."""

    def __init__(
        self, rate_bytes_per_s: float, burst_bytes: float, now_s: float
    ) -> None:
        self._rate = rate_bytes_per_s
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._updated_at_s = now_s

    def read_available(self, now_s: float) -> float:
        """Refill the bucket and return the bytes that may be sent now."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        self._updated_at_s = max(self._updated_at_s, now_s)
        return self._tokens

    def take(self, size_bytes: int, now_s: float) -> bool:
        """Spend bytes; return False and spend nothing if too few are available."""
        if self.read_available(now_s) < size_bytes:
            return False
        self._tokens -= size_bytes
        return True
