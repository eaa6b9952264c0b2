"""Serve operators on the admin listener."""
