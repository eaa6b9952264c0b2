"""Test the owner."""
