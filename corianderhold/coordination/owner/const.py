"""Limits and timing of the calls that an owner admits to its target."""

QUEUE_RETRY_AFTER_MS = 200
DRAINING_RETRY_AFTER_MS = 500
TARGET_RETRY_AFTER_MS = 200
# Consecutive refused connections until the target is suspended. A target at its
# connection limit refuses a few as well.
REFUSED_CONNECTIONS_MAX = 3
RESPONSE_GRACE_S = 0.08  # added to the deadline, for a response sent at it
RESPONSE_BUFFER_TIME_S = 0.1  # then a response of unknown length is streamed
RETRY_AFTER_JITTER_RATIO = 0.5  # retry-after times vary from 0.5 to 1.5 of the base
SERVICE_TIME_EWMA_WEIGHT = 0.1
ESTIMATE_LIFETIME_S = 2.0  # older service times don't predict the next call
WEIGHT_MIN = 0.01  # of an organisation in the queue
CONTEXT_TOKEN_BYTES = 16
INITIAL_LIMIT = 4
SAMPLE_WINDOW_CALLS_MIN = 6
LIMIT_SLOW_START_FACTOR = 2.0  # per sample window, until the first decrease
LIMIT_DECREASE_FACTOR = 0.7
LATENCY_RATIO_GROW_MAX = 1.5  # ratio of the mean service time to the lowest mean
LATENCY_RATIO_SHRINK_MIN = 2.0
LATENCY_TOLERANCE_S = 0.01  # smaller differences are scheduling noise of the machine
# Ratio of the mean after a decrease to the mean before it; up to this ratio, calls had
# queued inside the target and the decrease is kept.
LATENCY_IMPROVED_RATIO_MAX = 0.9
LATENCY_STEADY_RATIO_MAX = 1.1  # of the same means; above it, the mean still rises
SLOT_LIMIT_MIN_RATIO = 0.25  # of the slots; refusals lower the limit no further
FULL_UTILIZATION_MIN = 0.94  # of the slots; full above it, and the reduced limit
BUSY_UTILIZATION_MIN = 0.5  # of the slots; busy above it
UTILIZATION_BAND_EWMA_WEIGHT = 0.02
UTILIZATION_BAND_CALLS_MIN = 20
THROUGHPUT_GAIN_MIN = 1.08  # a smaller gain in throughput may be noise
BREAKER_FAILURES = 2  # consecutive, of one route, while nested calls are refused
BREAKER_PROBE_INTERVAL_S = 0.25
COLD_RETRY_AFTER_MS = 50  # minimum while a target or a callee is cold
COLD_START_BURST = 2.0  # tokens that a cold target may accumulate
RATE_LIMIT_MIN = 0.25  # calls per second, to detect that a limit of zero has ended
RATE_LIMIT_BURST_S = 0.5  # of a named limit that may accumulate as tokens
RATE_LIMIT_BURST_MIN = 4.0  # tokens, so that each level of importance can leave one
RATE_LIMIT_RESERVE_RATIO = 0.5  # of the tokens, that the least important calls leave
RATE_LIMIT_RESERVE_S = 1.0  # tokens are left to a level after its last call
RATE_LIMIT_RETRY_SPREAD_S = 2.0  # refused calls are told to return within this time
COLD_START_LIMIT_RATIO_MIN = 0.5  # of the concurrency limit, until the ramp begins
COLD_START_RAMP_S = 5.0  # to the full limit, at the end of a cold start
# Of the target's maximum connections. The rest is for connections whose close the
# target has not seen yet.
USABLE_CONNECTIONS_RATIO = 0.9
FAILED_RATIO_MAX = 0.25  # of a sample window's calls; above it, the limit decreases
