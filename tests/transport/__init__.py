"""Test the transport."""
