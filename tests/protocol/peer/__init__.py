"""Test the messages of peer links."""
