"""Carry frames between daemons over TCP links."""
