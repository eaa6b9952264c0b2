"""Bound what an owner holds for its target."""

QUEUE_RETRY_AFTER_MS = 200
DRAINING_RETRY_AFTER_MS = 500
TARGET_RETRY_AFTER_MS = 200
HOLD_S = 0.1  # how long an answer of unknown length is held before it is passed on
RETRY_AFTER_SPREAD = 0.5  # clients come back between 0.5 and 1.5 of the hint
SERVICE_TIME_WEIGHT = 0.1
ESTIMATE_LIFETIME_S = 2.0  # an older service time says nothing about the next call
WEIGHT_MIN = 0.01
CONTEXT_TOKEN_BYTES = 16
INITIAL_LIMIT = 4
ROUND_CALLS = 6
LIMIT_GROWTH = 2.0  # each round of a cold target
LIMIT_DECREASE = 0.7
SLOWER_GROWS_BELOW = 1.5  # mean service time by the lowest mean
SLOWER_SHRINKS_ABOVE = 2.0
SLOWER_SLACK_S = 0.01  # differences below this are the machine's, not the target's
USEFUL_DECREASE = 0.9  # a shorter mean than this part shows that calls had waited
STEADY_INCREASE = 1.1
SLOTS_LOWEST_PART = 0.25
COLD_LOWEST_PART = 0.5
COLD_SPAN_S = 5.0  # a target that is cold for longer gets the lowest part until then
CONNECTIONS_PART = 0.9  # the rest is for those that the target has not seen closed yet
FAILED_RATIO_MAX = 0.25
