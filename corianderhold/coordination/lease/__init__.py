"""Ensure that at most one holder acts for a shard."""
