"""Run requests with an idempotency key at most once."""
