"""Define the constants of gossip and synchronisation."""

from corianderhold.state.membership.const import LATE_HEARTBEAT_S

# Probes
PROBE_INTERVAL_S = 0.7
PROBE_TIMEOUT_S = 0.25
PROBE_TIMEOUT_MAX_S = 0.4
ISOLATION_PROBE_FAILURES = 2  # in a row; this daemon then stops probing suspects first
PROBE_DEADLINE_S = 0.7  # at most PROBE_INTERVAL_S, so that one probe runs at a time
INDIRECT_PROBES = 3
CROSS_DOMAIN_PROBE_INTERVAL = 8  # at most this many probes for one to another domain
CONSECUTIVE_CROSS_DOMAIN_PROBES = 2  # while members of other domains are to be verified
CROSS_DOMAIN_PROBERS = 2  # per domain, to verify a suspicion from another domain
DOMAIN_CHECK_PROBES = 3  # after an unanswered probe of another domain
DEAD_PROBE_INTERVAL_S = 2.0
REVIVAL_PINGS_LIMIT = 32  # to dead members after one of them has returned
REVIVAL_PINGS_PER_TICK = 3
JOIN_INTERVAL_S = 1.0
JOIN_FANOUT = 6
JOIN_NEAR_FANOUT = 4  # of JOIN_FANOUT, in the own domain
RELAY_TIMEOUT_S = 2.0
RELAY_LIMIT = 64
LAST_HEARD_WINDOW_S = 10.0

# Suspicion
SUSPICION_MULTIPLIER = 0.9  # timeout in seconds with 10 members
CROSS_DOMAIN_SUSPICION_FACTOR = 2.0  # a refutation has to cross two domains
HEALTH_LIMIT = 2
MAX_STEP_S = 0.5  # a longer gap between clock reads counts as a pause

# Incarnations
UNTHROTTLED_INCARNATION_RAISES = 3
INCARNATION_RAISE_INTERVAL_S = 5.0  # while two processes of an instance run

# Updates
GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 3  # members of the own domain
# Members of other domains, for updates of the own domain.
CROSS_DOMAIN_GOSSIP_FANOUT = 1
URGENT_FANOUT = 4
URGENT_CROSS_DOMAIN_FANOUT = 2
CROSS_DOMAIN_COPIES = 4  # of an update, from a domain to each other domain, on average
OWN_DOMAIN_EXTRA_TRANSMISSIONS = 3  # of updates of the own domain, within it
OWN_DOMAIN_PRIORITY_TRANSMISSIONS = 3  # head start of updates of the own domain
SAMPLE_FACTOR = 3
REFUTATIONS_LIMIT = 2
RETRANSMIT_EXTRA = 4

# Bytes, with IP and UDP headers
HEADER_BYTES = 28
DATAGRAM_LIMIT_BYTES = 540
BUDGET_BYTES_PER_S = 1024
BUDGET_BURST_BYTES = 65536
CROSS_DOMAIN_BURST_BYTES = 16384  # of BUDGET_BURST_BYTES, to other failure domains
PROBE_RESERVE_BYTES = 2048  # reserved for probes and acks
GOSSIP_RESERVE_BYTES = 8192  # also reserved for pings to unknown addresses

# Synchronisation
BUCKETS = 64
SYNC_PAGE_BYTES = 48 * 1024
SYNC_PAGES_LIMIT = 64
SYNC_INTERVAL_S = 60.0
SYNC_SETTLE_INTERVAL_S = 5.0  # between the rounds after the fast ones
SYNC_SETTLE_ROUNDS = 3
SYNC_REVIVAL_S = 15.0
SYNC_SPACING_S = 20.0
SYNC_RETRY_S = 1.0
SYNC_LARGE_FLEET = 400  # members
SYNC_REVIVAL_MIN_S = 0.5
SYNC_SPACING_MIN_S = 0.5
SYNC_FAST_INTERVAL_S = 0.4
SYNC_FAST_ROUNDS = 5
SYNC_TIMEOUT_S = 2.0
CROSS_DOMAIN_SYNC_SHARE = 0.25  # with members of other domains, after the join

# Log
LOG_INTERVAL_S = 600.0
LOG_RETRY_S = 10.0
LOG_JOIN_RETRY_S = 1.0  # until the first successful read
LOG_RECHECK_S = 0.7  # from the first read to the second
RESTORED_APPENDS_PER_S = 200.0  # of all daemons, after a restore of the store
LOG_TAIL_RECORDS = 256
LOG_TIMEOUT_S = 2.0
CONTACT_LIMIT = 32
LOGGED_MEMBERS_MIN = 8

# Departures
DEPARTURE_RETRY_S = 1.0  # of a failed append; doubles up to LOG_RETRY_S
DEPARTURE_HOLDERS = 2
DEPARTURE_CONFIRM_S = 0.7  # a target waits for its acknowledgement for one second
DEPARTURE_REQUEST_TIMEOUT_S = 0.3
DEPARTURE_ATTEMPTS = 2  # the second one on a new link, as the open ones may be silent
DEPARTURE_STOP_TIMEOUT_S = 0.2
HOLDERS_PER_DISTANCE = 2  # in the own failure domain, and in all others together
RECALL_PEERS_PER_DISTANCE = 3  # more than HOLDERS_PER_DISTANCE, as ranks shift
RECALL_ATTEMPTS = 4  # for each peer
RECALL_INTERVAL_S = 0.5
RECALL_LIMIT_S = LATE_HEARTBEAT_S
RECALL_PERIOD_S = 15.0
HEALTH_CHECK_TIMEOUT_S = 1.0
TIMELY_HEARTBEAT_S = 2.3  # 0.8 s to start and an interval of 1.5 s
UNNAMED_HEARTBEAT_S = 3.0  # of a healthy target that does not name itself

# Service
FORGET_INTERVAL_S = 10.0
RECEIVE_LIMIT = 64
LEAVE_LINGER_S = 0.5
STOP_TIMEOUT_S = 5.0
JOIN_SYNC_DELAY_S = 0.5
TICK_S = 0.1
MEMBER_LIMIT_BYTES = 200  # two announcements and the header fit into a datagram
