"""Test the transport package."""
