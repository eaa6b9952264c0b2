"""Test the protocol layer."""
