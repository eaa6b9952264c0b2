"""Test callers' keys."""
