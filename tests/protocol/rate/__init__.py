"""Test the messages of loans."""
