"""Bound the messages of the topic configuration."""

DIGEST_BYTES = 8
NEWEST_SNAPSHOT = -2
