"""Test the fold of lease records."""
