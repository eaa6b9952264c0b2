"""Test the state layer."""
