"""Test the table of members and the local target."""
