"""Encode and decode the frames of peer links."""
