"""Test the coordination package."""
