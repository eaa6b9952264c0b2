"""Run a request with an idempotency key at most once."""
