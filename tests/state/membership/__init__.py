"""Test the member table and the local target."""
