"""Test the configuration and its fold."""
