"""Define the times of the lease, in seconds, under the specification's names."""

CLOCK_DRIFT = 0.02  # maximum drift of a clock's rate, as a fraction

READ_VALID_S = 2.0
TAKEOVER_WAIT_S = 2.7
PROMISE_S = 3.0
PROMISE_KEPT_S = 3.3
UNREAD_LIMIT_S = 900.0
NEWCOMER_WAIT_S = 960.0

STEP_INTERVAL_S = 0.25
HOLDER_READ_INTERVAL_S = 0.7
CANDIDATE_READ_INTERVAL_S = 2.0  # while the holder requests no promise
PROMISED_READ_INTERVAL_S = 30.0  # while the holder may act on promises alone
PROMISE_MARGIN_S = 1.5  # remaining validity of promises required for that interval
RECENT_PROMISE_REQUEST_S = 1.5
PROMISE_INTERVAL_S = 0.5
PROMISE_TIMEOUT_S = 0.3
LOG_TIMEOUT_S = 0.6
RESEND_INTERVAL_S = 2.0
HOLDER_SILENCE_S = 2.0  # without a promise request, until a successor claims
CLAIM_DELAY_PER_RANK_S = 0.5  # delay of a claim per rank, so that claims do not collide
RECORD_RENEWAL_INTERVAL_S = 600.0  # of a holder, well below the log's retention
SUCCESSORS_MAX = 2
CANDIDATES_MAX = 3
TENURE_ERA_SHIFT = 20  # bits for the number of a term
PAGE_LIMIT = 500
