"""Test the peer links."""
