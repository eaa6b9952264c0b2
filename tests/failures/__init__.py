"""Bring about the failures that the product is meant for, over real processes."""
