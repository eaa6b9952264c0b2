"""Define the constants of the topic "configuration"."""

DIGEST_BYTES = 8
NEWEST_SNAPSHOT = -2  # as `folded_to` of a SnapshotQuery
