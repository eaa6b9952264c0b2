"""Test the administration API."""
