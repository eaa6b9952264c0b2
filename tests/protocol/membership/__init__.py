"""Test the encoding and authentication of gossip."""
