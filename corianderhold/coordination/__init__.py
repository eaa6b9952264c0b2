"""Coordinate with other daemons: routing, membership, leases and rates."""
