"""Test the client of the platform's log."""
