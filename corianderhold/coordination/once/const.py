"""Define the constants of idempotency keys."""

SHARD_COUNT = 16
KEY_VERSION = 7  # RFC 9562: a UUID that starts with a timestamp
KEY_FUTURE_TOLERANCE_S = 5.0  # a key with a later timestamp is refused
CLOCK_ERROR_MAX_S = 1.0  # of a daemon's wall clock, in either direction
RECORDS_MAX = 20_000  # per shard
RECORDED_BYTES_MAX = 8 * 1024 * 1024  # of response bodies per shard
RECORD_LIFETIME_S = 900.0  # since the timestamp of the key
IN_PROGRESS_RETRY_AFTER_MS = 500
NO_HOLDER_RETRY_AFTER_MS = 1000
HOLDERS_TRIED_MAX = 3  # per request, starting with the presumed holder
TENURE_CHECK_INTERVAL_S = 0.5
