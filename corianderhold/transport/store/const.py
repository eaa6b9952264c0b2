"""Define time-outs and limits of requests to the platform's log."""

ERA_HEADER = "X-Store-Era"
CONNECTION_IDLE_LIMIT_S = 20.0
POOLED_CONNECTIONS_MAX = 4
CONNECT_TIMEOUT_S = 1.0
PAGE_BYTES_MAX = 32 * 1024 * 1024
FIRST_ATTEMPT_TIMEOUT_RATIO = 0.5
KEEPALIVE_IDLE_S = 2  # a silent connection is detected after about 4 s
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
