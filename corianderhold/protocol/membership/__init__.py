"""Encode and decode gossip datagrams and synchronisation messages."""
