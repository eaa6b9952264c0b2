"""Test idempotency keys."""
