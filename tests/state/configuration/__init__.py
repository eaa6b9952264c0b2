"""Test the configuration, its validation and its fold."""
