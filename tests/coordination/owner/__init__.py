"""Test the owner package."""
