"""Test what the measurements work out."""
