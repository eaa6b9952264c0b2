"""Test the network transport."""
