"""Define the constants of rate limiting."""

DEFAULT_RETRY_AFTER_MS = 1000
RETRY_AFTER_MAX_MS = 60_000
UNSETTLED_RETRY_AFTER_MS = 600  # while the entry does not know its slices yet

# Each loan is reserved by its lender, from the grant on, longer than the borrower may
# use it, from its request on.
ENTRY_LOAN_S = 3.0
ENTRY_LOAN_RESERVED_S = 3.3
DOMAIN_LOAN_S = 6.0  # between stewards; longer, as it is lent on to entries
DOMAIN_LOAN_RESERVED_S = 6.5
SINGLE_LOAN_S = 0.3  # of one token for one call
SINGLE_LOAN_RESERVED_S = 0.35
SINGLE_TIMEOUT_S = 0.2
CONCURRENT_CHARGES_MAX = 8  # concurrent requests of one entry
CHARGE_BACKOFF_S = 0.1  # after a refused charge, doubled by each further one
CHARGE_BACKOFF_MAX_S = 1.0
TRANSFER_USABLE_S = 0.2  # an entry may use tokens of a peer this long after its request
TRANSFER_RESERVED_S = 0.25  # the peer's capacity stays lowered this long after it lent
TRANSFER_TIMEOUT_S = 0.1
TRANSFER_TOTAL_TIMEOUT_S = 0.2  # for all transfer requests of one call
UNRESPONSIVE_PEER_BACKOFF_S = 1.0  # no request to a peer this long after it timed out
LOCAL_LENDERS_MAX = 4  # peers asked in the local domain, and in the rest of the region
REMOTE_LENDERS_MAX = 2  # peers asked in other regions
SLICE_RESERVE_FRACTION = 0.25  # not lent to peers, where it amounts to a token
# Of the configured overage; the rest covers daemons that count different members.
OVERAGE_USED_FRACTION = 0.5
SLICE_CAPACITY_MIN = 4.0  # tokens, unless one member holds the whole
SLICE_RATE_MIN_PER_S = 2.0  # tokens a second, unless one member holds the whole
SLICE_REFRESH_INTERVAL_S = 0.1
RECOUNT_INTERVAL_S = 1.0  # while the member list is unchanged
COUNT_SETTLE_S = 0.3  # without a new member until the count is settled
COUNT_SETTLE_LIMIT_S = 3.0  # since the start; the count is settled then at the latest
DEAD_MEMBER_RETENTION_S = 60.0  # it may be partitioned and still admit requests

RENEW_INTERVAL_S = 1.0
EARLY_RENEW_INTERVAL_S = 0.1
EARLY_RENEWAL_BURST = 5.0
EARLY_RENEWALS_PER_S = 0.5
RENEWAL_CHECK_INTERVAL_S = 0.05
LOAN_TIMEOUT_S = 0.5
SHARE_INCREASE_DELAY_S = 15.0  # so that all daemons see the lowered shares first

DEMAND_HEADROOM = 0.6  # lent above the demand, in square roots of the demand
DEMAND_MARGIN_PER_S = 0.3  # lent above the demand and its headroom
DEMAND_WINDOW_S = 4.0
SIGNIFICANT_DEVIATIONS = 2.0  # standard deviations; a larger change counts at once
IDLE_DEMAND_PER_S = 0.01  # an entry with less demand returns its loan
LENT_CAPACITY_FRACTION = 0.85  # of a domain's burst, lent to its entries in advance
LENT_SPARE_FRACTION = 0.95  # of a domain's unused rate, lent to other domains
BORROWED_RATE_MIN_PER_S = 0.1  # a domain borrows no less than this
# An entry that would get less capacity, and whose demand is lower than the maximum
# below, gets no loan and charges each call at the steward.
LENT_CAPACITY_MIN = 3.0
SINGLE_CHARGE_DEMAND_MAX_PER_S = 5.0
