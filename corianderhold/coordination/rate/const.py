"""Name the constants of the rate limit."""

UNKNOWN_RETRY_AFTER_MS = 1000
LONGEST_RETRY_AFTER_MS = 60_000
