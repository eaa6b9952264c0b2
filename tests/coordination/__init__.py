"""Test the coordination layer."""
