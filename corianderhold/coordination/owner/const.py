"""Limits and timing of the calls that an owner admits to its target."""

QUEUE_RETRY_AFTER_MS = 200
DRAINING_RETRY_AFTER_MS = 500
TARGET_RETRY_AFTER_MS = 200
# Consecutive refusals; a target at its connection limit refuses a few as well.
REFUSED_CONNECTIONS_MAX = 3
RESPONSE_GRACE_S = 0.08  # for a response that the target sends at the deadline
RESPONSE_BUFFER_TIME_S = 0.1  # for a response of unknown length, before streaming
RETRY_AFTER_JITTER_RATIO = 0.5  # retry-after times vary from 0.5 to 1.5 of the base
SERVICE_TIME_EWMA_WEIGHT = 0.1
ESTIMATE_LIFETIME_S = 2.0  # older service times don't predict the next call
WEIGHT_MIN = 0.01
CONTEXT_TOKEN_BYTES = 16
INITIAL_LIMIT = 4
SAMPLE_WINDOW_CALLS_MIN = 6
LIMIT_SLOW_START_FACTOR = 2.0  # for each sample window of the slow start
LIMIT_DECREASE_FACTOR = 0.7
LATENCY_RATIO_GROW_MAX = 1.5  # ratio of the mean service time to the lowest mean
LATENCY_RATIO_SHRINK_MIN = 2.0
LATENCY_TOLERANCE_S = 0.01  # smaller differences are scheduling noise of the machine
LATENCY_IMPROVED_RATIO_MAX = 0.9  # a mean below it shows that calls had queued
LATENCY_STEADY_RATIO_MAX = 1.1
SLOT_LIMIT_MIN_RATIO = 0.25
FULL_UTILIZATION_MIN = 0.94
BUSY_UTILIZATION_MIN = 0.5
UTILIZATION_BAND_EWMA_WEIGHT = 0.02
UTILIZATION_BAND_CALLS_MIN = 20
THROUGHPUT_GAIN_MIN = 1.08  # a smaller gain in throughput may be noise
BREAKER_FAILURES = 2  # consecutive, of one route, while its nested calls are refused
BREAKER_PROBE_INTERVAL_S = 0.25
COLD_RETRY_AFTER_MS = 50
COLD_START_BURST = 2.0  # tokens that a cold target may accumulate
COLD_START_LIMIT_RATIO_MIN = 0.5
COLD_START_RAMP_S = 5.0  # ramp at the end of a cold start, at the minimum until then
# The rest is for connections whose close the target has not seen yet.
USABLE_CONNECTIONS_RATIO = 0.9
FAILED_RATIO_MAX = 0.25
