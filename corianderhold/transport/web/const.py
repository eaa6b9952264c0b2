"""Define time-outs and limits of the HTTP client and server."""

TARGET_CONNECT_TIMEOUT_S = 0.3
TARGET_IDLE_CONNECTIONS = 256
DEFAULT_KEEP_ALIVE_TIMEOUT_S = 30.0  # if the target sends no Keep-Alive time-out
# Of the target's time-out; the connection is dropped before it closes it.
KEEP_ALIVE_REUSE_RATIO = 0.75
INTERIM_RESPONSES_MAX = 8
MISMATCHED_RESPONSES_MAX = 4
MISMATCHED_RESPONSE_BYTES_MAX = 1024 * 1024
CHUNK_LINE_BYTES_MAX = 1024
READ_BYTES = 64 * 1024
HEAD_READ_BYTES = 16 * 1024
HAND_OVER_BUFFER_BYTES = 200 * 1024  # of a connection; the default wmem_max
PROGRESS_TIMEOUT_S = 10  # for a caller that neither sends nor receives any bytes
SWEEP_INTERVAL_S = 0.5
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 15_000
HEADER_BYTES_MAX = (
    32 * 1024
)  # of a target's response; the limit for callers is configured
SHUTDOWN_TIMEOUT_S = 5
# On stop, for received requests that still wait for a thread.
UNREAD_REQUESTS_TIMEOUT_S = 0.2
UNREAD_REQUESTS_POLL_INTERVAL_S = 0.005
WAKE_DELAY_S = 0.02
WAKE_TIMEOUT_S = 0.2
LISTEN_BACKLOG = 1024
IDLE_CONNECTIONS_MAX = 4096
INITIAL_THREADS = 8  # per listener, or its maximum if that is lower
IDLE_THREADS_MIN = 4  # more threads are started below this
# For a caller to read the response before the connection is closed.
LINGER_TIMEOUT_S = 1.0
DISCARDED_BODY_BYTES_MAX = (
    64 * 1024
)  # of an unread request body; above this the connection is closed
HEADER_NAMES_CACHED = 1024
TRAILER_BYTES_MAX = 8 * 1024
