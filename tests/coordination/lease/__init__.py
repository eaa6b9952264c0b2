"""Test the leases of shards."""
