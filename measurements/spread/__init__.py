"""Provide the parts of the configuration propagation measurement."""
