"""Bound what an entry does on behalf of callers."""

DEPTH_MAX = 16
NO_TARGET_RETRY_AFTER_MS = 1000
OVERLOAD_RETRY_AFTER_MS = 300
START_RETRY_AFTER_MS = 800  # until a daemon that starts has its configuration
RETRY_AFTER_EXTRA_S = 2
RETRY_AFTER_LEAST_MS = 50
LOAD_REPORT_LIFETIME_S = 1.0  # an older report says nothing about the load now
PUSH_BACK_LIFETIME_S = 0.1  # a full queue may have emptied after this
PUSH_BACK_PROBE_RATIO = 0.05  # calls let through to learn whether an owner recovered
EJECTION_FAILURES = 3
EJECTION_TIME_S = 2.0
EJECTION_TIME_MAX_S = 30.0
EJECTION_DOUBLINGS_MAX = 10
FILL_RATIO = 0.9  # of an owner's limit, from which on farther ones are asked too
LIMIT_UNKNOWN = 16  # assumed of an owner that has reported none
CANDIDATES = 2
MOVES_MAX = 4  # owners passed over that could not take a call
CALLER_CHECK_INTERVAL_S = 0.1
CANCEL_TIMEOUT_S = 0.2  # other callers that left wait meanwhile
RESERVED_THREADS = 8
NESTED_PART = 0.2  # of a listener's places, for nested calls that come among roots
REFUSAL_GRACE_S = 0.15  # for the refusal that an owner sends at the deadline
