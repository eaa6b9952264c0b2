"""Test the parts of the single-file build."""
