"""Limit every organisation to its rate and burst across the whole fleet."""
