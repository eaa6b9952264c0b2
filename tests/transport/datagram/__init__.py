"""Test the UDP endpoint."""
