"""Decide together with other daemons: routing, membership, leases, rates."""
