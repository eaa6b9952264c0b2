"""Tests of gossip, synchronisation and the membership service."""
