"""Limits and timing of the requests that an entry serves."""

DEPTH_MAX = 16
NO_TARGET_RETRY_AFTER_MS = 1000
OVERLOAD_RETRY_AFTER_MS = 300
STARTUP_RETRY_AFTER_MS = 800  # while a daemon that starts up loads its configuration
RETRY_AFTER_JITTER_S = 2
RETRY_AFTER_MIN_MS = 50
LOAD_REPORT_LIFETIME_S = 1.0  # older reports don't reflect the current load
NOTICE_LIFETIME_S = 60.0  # a target that leaves has ended by then
LIMIT_REPORT_LIFETIME_S = 2.0  # then a call finds out whether the limit has ended
PUSH_BACK_LIFETIME_S = 0.1  # a full queue may have drained after this time
PUSH_BACK_PROBE_RATIO = 0.05  # calls sent as probes, to detect recovered owners
EJECTION_FAILURES = 3
EJECTION_TIME_S = 2.0
EJECTION_TIME_MAX_S = 30.0
EJECTION_DOUBLINGS_MAX = 10
SPILLOVER_UTILIZATION = 0.9  # of an owner's limit; above it, use farther owners too
OWNER_LIMIT_DEFAULT = 16  # assumed for an owner that has not reported its limit
LIMITED_CALLEE_WAIT_S = 0.1  # after a nested call was above its callee's limit
RATE_LIMIT_RETRY_SPREAD_S = 2.0  # refused calls are told to return within this time
SAMPLED_OWNERS_PER_LOCALITY = 2
REROUTES_MAX = 4  # reroutes of one call past owners that could not take it
CALLER_CHECK_INTERVAL_S = 0.1
CANCEL_TIMEOUT_S = 0.2  # meanwhile cancellations of other calls are delayed
RESERVED_THREADS = 8
# Of a listener's capacity, where nested calls arrive together with root requests.
NESTED_RESERVE_RATIO = 0.2
REFUSAL_GRACE_S = 0.15  # for a refusal that the owner sends at the deadline
