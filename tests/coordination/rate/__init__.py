"""Test rate limiting."""
