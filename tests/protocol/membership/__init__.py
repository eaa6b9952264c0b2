"""Test the encoding of gossip."""
