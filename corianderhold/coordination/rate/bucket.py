"""Implement a token bucket that refills at a constant rate up to a capacity."""


class TokenBucket:
    """
    Hold tokens; not thread-safe.

    `rate` is in tokens per second, `capacity` in tokens, times in monotonic seconds.
    A bucket starts empty, so that a restart does not grant a second burst.
    """

    __slots__ = ("_refilled_at", "capacity", "rate", "tokens")

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = 0.0
        self._refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill; ignore an earlier time."""
        elapsed = now - self._refilled_at
        if elapsed <= 0:
            return
        self._refilled_at = now
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Remove `amount` tokens if the bucket has them; return whether it did."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def take_up_to(self, now: float, amount: float) -> float:
        """Remove at most `amount` tokens and return the number removed."""
        self.refill(now)
        taken = max(0.0, min(self.tokens, amount))
        self.tokens -= taken
        return taken

    def add(self, now: float, amount: float) -> None:
        """Add tokens up to the capacity; discard the rest."""
        self.refill(now)
        self.tokens = min(self.capacity, self.tokens + amount)

    def resize(self, now: float, rate: float, capacity: float) -> None:
        """Change rate and capacity from `now` on; discard tokens above the capacity."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def estimate_wait_s(self, amount: float = 1.0) -> float:
        """Return seconds until `amount` tokens accrue, infinite if they never do."""
        if amount > self.capacity or self.rate <= 0:
            return float("inf")
        return max(0.0, (amount - self.tokens) / self.rate)
