"""Define the limits and intervals of configuration replication."""

ANTI_ENTROPY_INTERVAL_S = 1.0
FIRST_EXCHANGE_INTERVAL_S = 0.2  # until a first configuration is known
ANTI_ENTROPY_JITTER = 0.2
ANTI_ENTROPY_PARENT_SHARE = 0.5
ANTI_ENTROPY_ANY_MEMBER_SHARE = 0.02
ANTI_ENTROPY_CROSS_DOMAIN_SHARE = 0.5  # while the own domain may lack updates
EXCHANGE_TIMEOUT_S = 1.0
EXCHANGE_ROUNDS_MAX = 64
PEER_HEADS_MAX = 64
RECORDS_BYTES_MAX = 64 * 1024
SENT_RECORD_BYTES_MAX = 256 * 1024
PUSH_BYTES_MAX = 8 * 1024
UNCOMPRESSED_SNAPSHOT_BYTES_MAX = 2 * 1024  # longer ones are sent compressed
SNAPSHOT_PART_BYTES = 64 * 1024
SNAPSHOT_BYTES_MAX = 32 * 1024 * 1024
SNAPSHOT_CACHE_SIZE = 2

SAME_DOMAIN_NEIGHBOURS = 6
CROSS_DOMAIN_NEIGHBOURS = 6
PUSH_FANOUT = 2
LARGE_FLEET_PUSH_FANOUT = 4  # only few daemons read the log
CROSS_DOMAIN_PUSH_FANOUT = 1  # only sent by daemons that read the log
PEERS_REFRESH_INTERVAL_S = 5.0
PARENT_ARITY = 6
PUSH_THREADS = 2
PUSH_DELAY_S = 0.3  # while every daemon reads the log

POLLERS_PER_DOMAIN = 2
JOIN_POLL_DELAY_S = 0.2  # a peer may provide the configuration first
# After a start, an older view is checked against the log.
STARTUP_VIEW_AGE_LIMIT_S = 2.0
ALL_POLL_DELAY_S = 2.0  # after a start, until the member count is trusted
ALL_POLL_MEMBERS = 32  # up to this many, every daemon reads the log
POLL_WAIT_MIN_S = 2.0  # long-poll wait, drawn for each read
POLL_WAIT_MAX_S = 20.0
POLL_WAIT_SHARE = 0.25  # of the view age at which a route refuses requests
HELD_POLL_MIN_S = 0.5  # a read that returns sooner was not held
POLL_RETRY_S = 0.2  # after the first failed read
POLL_INTERVAL_S = 1.0  # if the log does not hold reads
POLL_BACKOFF_LIMIT_S = 4.0
# Of polls before the end of their delay, for daemons that only lost their own way.
POLL_EARLY_RETRIES_MAX = 3
EXTRA_POLL_BACKOFF_LIMIT_S = 30.0  # for pollers beyond POLLERS_PER_DOMAIN
POLL_JOIN_TIMEOUT_S = 0.2  # a held read is abandoned
NO_PEER_TIMEOUT_S = 1.5  # without a response from any peer
FALLBACK_POLL_AFTER_S = 25.0  # without confirmation that the view is complete
FALLBACK_POLL_BACKOFF_LIMIT_S = 120.0
LOG_READ_TIMEOUT_S = 2.0
LOG_ANSWER_DELAY_S = 1.0  # upper bound on the delay of a held read's response
HELD_READ_MIN_S = 2.0  # a read that returns sooner may not have been held
LOG_PAGE_RECORDS = 256
LOG_PAGES_MAX = 64

TAIL_RECORDS_MAX = 512
TAIL_BYTES_MAX = 1024 * 1024
HISTORY_ENTRIES_MAX = 512
HISTORY_BYTES_MAX = 2 * 1024 * 1024

SNAPSHOT_INTERVAL_RECORDS = 256
SNAPSHOT_AGE_SHARE = 0.25
SNAPSHOT_RANK_DELAY_S = 30.0
SNAPSHOT_VIEW_AGE_LIMIT_S = 30.0
SNAPSHOT_RETRY_S = 120.0
RESTORED_RANK_DELAY_S = 0.5  # of the snapshot that repairs a restored log
RESTORED_RETRY_S = 2.0
RESTORED_SETTLE_S = 3.0  # until the daemons have repaired a restored log
LOG_APPEND_TIMEOUT_S = 5.0

PUBLISH_RETRY_PAUSE_S = 0.25
PUBLISH_TIMEOUT_S = 10.0
