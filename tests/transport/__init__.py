"""Test the transport layer."""
