"""Define the limits, time-outs and names of the administration API."""

BODY_BYTES_MAX = 4 * 1024 * 1024
PUBLISH_TIMEOUT_S = 10.0
REBASES_MAX = 5
HISTORY_LIMIT_DEFAULT = 50
HISTORY_LIMIT_MAX = 512
CHANGE_ID_BYTES = 16
METRIC_PREFIX = "corianderhold"
REALM = 'Bearer realm="corianderhold"'
