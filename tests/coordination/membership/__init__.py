"""Test gossip, synchronisation and the membership service."""
