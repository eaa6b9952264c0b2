"""Serve the administration API to operators."""
