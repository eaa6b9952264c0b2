"""Replicate the configuration: read, exchange, publish and snapshot it."""
