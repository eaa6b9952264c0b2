"""Define the constants of rate limiting."""

UNKNOWN_RETRY_AFTER_MS = 1000
LONGEST_RETRY_AFTER_MS = 60_000
UNSETTLED_RETRY_AFTER_MS = 600

ENTRY_LOAN_S = 3.0  # an entry may use a loan this long after its request
ENTRY_LOAN_KEPT_S = 3.3  # the lender reserves it this long after the grant
DOMAIN_LOAN_S = 6.0  # between stewards; longer, as it is lent on to entries
DOMAIN_LOAN_KEPT_S = 6.5
SINGLE_LOAN_S = 0.3  # an entry may use the token for one call this long
SINGLE_LOAN_KEPT_S = 0.35
SINGLE_TIMEOUT_S = 0.2
SINGLE_CHARGES = 8  # concurrent requests of one entry
SINGLE_RETRY_S = 0.1  # after a refusal, doubled by each further one
SINGLE_RETRY_MAX_S = 1.0
TRANSFER_USE_S = 0.2  # an entry may use tokens of a peer this long after its request
TRANSFER_KEPT_S = 0.25  # the peer's capacity stays lowered this long
TRANSFER_TIMEOUT_S = 0.1
TRANSFER_LIMIT_S = 0.2  # for all transfer requests of one call
SILENT_LENDER_S = 1.0  # no request to a peer this long after it timed out
NEAR_LENDERS = 4  # peers asked in the local domain, and in the rest of the region
FAR_LENDERS = 2  # peers asked in other regions
LENT_RESERVE = 0.25  # not lent to peers, where it amounts to a token
OVERAGE_USED = 0.5  # the rest covers daemons that count different members
HOLDER_CAPACITY = 4.0  # tokens, unless one member holds the whole
HOLDER_RATE = 2.0  # tokens a second, unless one member holds the whole
SLICE_REFRESH_INTERVAL_S = 0.1
RECOUNT_INTERVAL_S = 1.0  # while the member list is unchanged
COUNT_SETTLE_S = 0.3  # without a new member until the count is settled
COUNT_SETTLE_LIMIT_S = 3.0
DEAD_COUNTED_S = 60.0  # it may be partitioned and still admit requests

RENEW_INTERVAL_S = 1.0
EARLY_RENEW_INTERVAL_S = 0.1
EARLY_RENEWALS = 5.0
EARLY_RENEWALS_PER_S = 0.5
PACE_CHECK_INTERVAL_S = 0.05
LOAN_TIMEOUT_S = 0.5
RAISE_DELAY_S = 15.0  # so that all daemons see the lowered shares first

DEMAND_HEADROOM = 0.6  # lent above the demand, in square roots of the demand
DEMAND_FLOOR = 0.3  # lent above the demand and its headroom
DEMAND_WINDOW_S = 4.0
SURE_DEVIATIONS = 2.0  # standard deviations of a significant change
IDLE_DEMAND = 0.01  # an entry with less demand returns its loan
LENT_CAPACITY_PART = 0.85  # of a domain's burst, lent to its entries in advance
SPARE_PART = 0.95  # of a domain's unused rate, lent to other domains
SMALLEST_LOAN = 0.1  # a domain borrows no less than this
LEAST_LENT_CAPACITY = 3.0  # below it, calls are charged at the steward one by one
MOST_SINGLE_DEMAND = 5.0  # up to this demand of an entry
