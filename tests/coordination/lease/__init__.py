"""Test the lease package."""
