"""Bound the waits and sizes of HTTP."""

TARGET_CONNECT_TIMEOUT_S = 0.3
TARGET_IDLE_CONNECTIONS = 256
TARGET_IDLE_S = 30.0  # where the target does not say how long it keeps a connection
KEPT_PART = 0.75  # of the time that the target keeps a connection
INTERIM_ANSWERS_MAX = 8
FOREIGN_ANSWERS_MAX = 4
FOREIGN_BYTES_MAX = 1024 * 1024
CHUNK_LINE_BYTES_MAX = 1024
READ_BYTES = 64 * 1024
HEAD_READ_BYTES = 16 * 1024
PROGRESS_TIMEOUT_S = 10  # a caller that neither sends nor takes anything
SWEEP_INTERVAL_S = 0.5
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 15_000
HEADER_BYTES_MAX = 32 * 1024  # of a target's answer; those of callers are configured
SHUTDOWN_TIMEOUT_S = 5
WAKE_DELAY_S = 0.02
WAKE_TIMEOUT_S = 0.2
LISTEN_BACKLOG = 1024
IDLE_CONNECTIONS_MAX = 4096
LINGER_TIMEOUT_S = 1.0  # for a caller to read the answer before the connection ends
SKIP_BYTES_MAX = 64 * 1024  # of a refused body; a longer one costs its connection
NAMES_CACHED = 1024
TRAILER_BYTES_MAX = 8 * 1024
