"""Define the timing of quarantines."""

CRASH_CHECKS = 2  # a target that ends may still accept a connection for a moment
CRASH_CHECK_PAUSE_S = 0.01
CRASH_MEMORY_S = 10.0  # a later connection failure is not part of the same crash
NO_CRASH_MEMORY_S = 0.05

TRIAL_DELAY_S = 0.1  # after the crash, until the other owners know of the suspects
TRIAL_WAIT_MAX_S = 1.0
TRIALS_AT_ONCE = 4  # of calls that were in flight at one crash only
TRIALS_WAITING_MAX = 32
TRIAL_RETRY_AFTER_MS = 500
QUARANTINED_RETRY_AFTER_MIN_MS = 1000

SUCCESS_LIFETIME_S = 60.0  # within which an answer exonerates a call at a crash
SUCCESSES_MAX = 4096
CLEARED_LIFETIME_S = 2.0  # within which an entry may not know of a clearance

HINT_LIFETIME_S = 5.0  # of what an owner's refusal says of a call
HINTS_MAX = 1024

NOTICE_TIMEOUT_S = 1.0
NOTICE_THREADS = 16
SYNC_INTERVAL_S = 2.0  # while anything is known
START_SYNC_PEERS = 3
PEER_FAILURES_MAX = 3  # then a peer, maybe of an older build, is left out for a time
PEER_PAUSE_S = 30.0

LOG_TIMEOUT_S = 2.0
LOG_PAGE_RECORDS = 256
LOG_PAGES_MAX = 16
LOG_KEYS = 256  # a later quarantine with the same key replaces an earlier one
LOG_PENDING_MAX = 64
LOG_INTERVAL_S = 3.0  # between reads, while an owner can't be reached
UNREACHABLE_MEMORY_S = 120.0  # an owner that is dead for longer may have been removed
