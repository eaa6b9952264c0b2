"""Test the state package."""
