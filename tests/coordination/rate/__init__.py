"""Test the rate package."""
