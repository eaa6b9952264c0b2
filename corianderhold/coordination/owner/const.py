"""Bound what an owner holds for its target."""

QUEUE_RETRY_AFTER_MS = 200
DRAINING_RETRY_AFTER_MS = 500
RETRY_AFTER_SPREAD = 0.5  # clients come back between 0.5 and 1.5 of the hint
SERVICE_TIME_WEIGHT = 0.1
CONTEXT_TOKEN_BYTES = 16
