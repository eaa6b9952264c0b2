"""Test what the one-file build is made of."""
