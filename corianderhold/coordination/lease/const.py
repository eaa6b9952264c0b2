"""Name the times of the lease, in seconds, as the specification names them."""

CLOCK_DRIFT = 0.02  # highest error of a clock's rate, as a fraction

READ_VALID_S = 2.0
TAKEOVER_WAIT_S = 2.7
PROMISE_S = 3.0
PROMISE_KEPT_S = 3.3
UNREAD_LIMIT_S = 900.0
NEWCOMER_WAIT_S = 960.0

STEP_INTERVAL_S = 0.25
HOLDER_READ_INTERVAL_S = 0.7
CANDIDATE_READ_INTERVAL_S = 2.0  # while the holder asks for no promise
CARRIED_READ_INTERVAL_S = 30.0  # while promises carry the holder
CARRIED_MARGIN_S = 1.5  # that promises must still last for it
ASKED_LATELY_S = 1.5
PROMISE_INTERVAL_S = 0.5
PROMISE_TIMEOUT_S = 0.3
LOG_TIMEOUT_S = 0.6
RESEND_INTERVAL_S = 2.0
HOLDER_SILENCE_S = 2.0  # without a request for a promise, until a successor claims
RANK_DELAY_S = 0.5  # between the claims of successors, by rank
RENEWAL_INTERVAL_S = 600.0  # between records of a holder, well below the retention
SUCCESSORS = 2
CANDIDATES = 3
PAGE_LIMIT = 500
