"""Name the times of the lease, in seconds, as the specification names them."""

CLOCK_DRIFT = 0.02  # highest error of a clock's rate, as a fraction

READ_VALID_S = 3.0
TAKEOVER_WAIT_S = 4.0
PROMISE_S = 4.0
PROMISE_KEPT_S = 5.0
UNREAD_LIMIT_S = 900.0
NEWCOMER_WAIT_S = 960.0
