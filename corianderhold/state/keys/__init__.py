"""Issue callers' keys and check them against their digests."""
