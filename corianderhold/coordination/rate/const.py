"""Name the constants of the rate limit."""

UNKNOWN_RETRY_AFTER_MS = 1000
LONGEST_RETRY_AFTER_MS = 60_000
UNSETTLED_RETRY_AFTER_MS = 600

ENTRY_LOAN_S = 3.0  # an entry uses a loan this long after its request
ENTRY_LOAN_KEPT_S = 3.3  # its lender takes it back this long after the grant
DOMAIN_LOAN_S = 6.0  # the same between stewards; longer, to be lent on to entries
DOMAIN_LOAN_KEPT_S = 6.5
SINGLE_LOAN_S = 0.3  # an entry uses the token for one call this long
SINGLE_LOAN_KEPT_S = 0.35
SINGLE_TIMEOUT_S = 0.2
SINGLE_CHARGES = 8  # at once by one entry
SINGLE_RETRY_S = 0.1  # after a refusal by the steward, doubled by each further one
SINGLE_RETRY_MAX_S = 1.0
TRANSFER_USE_S = 0.2  # an entry uses tokens of a peer this long after its request
TRANSFER_KEPT_S = 0.25  # the peer's capacity is lowered this long after the grant
TRANSFER_TIMEOUT_S = 0.1
TRANSFER_LIMIT_S = 0.2  # for all requests that one call makes
SILENT_LENDER_S = 1.0  # a peer that did not answer is not asked for this long
NEAR_LENDERS = 4  # peers asked in the own domain, and in the rest of the region
FAR_LENDERS = 2
LENT_RESERVE = 0.25  # part of a slice that is not lent, where it makes a token
OVERAGE_USED = 0.5  # the rest is for times in which daemons count differently
HOLDER_CAPACITY = 4.0  # tokens in a slice at least, unless one member holds all
HOLDER_RATE = 2.0  # tokens a second that a slice makes at least, likewise
SLICE_REFRESH_INTERVAL_S = 0.1
RECOUNT_INTERVAL_S = 1.0  # of members that have not changed
COUNT_SETTLE_S = 0.3  # without a further member, until members are taken as counted
COUNT_SETTLE_LIMIT_S = 3.0
DEAD_COUNTED_S = 60.0  # a member that died or is cut off still counts this long

RENEW_INTERVAL_S = 1.0
EARLY_RENEW_INTERVAL_S = 0.1
EARLY_RENEWALS = 5.0  # early renewals in a row
EARLY_RENEWALS_PER_S = 0.5
PACE_CHECK_INTERVAL_S = 0.05
LOAN_TIMEOUT_S = 0.5
RAISE_DELAY_S = 15.0  # until a raised share is used, for all to see the lowered ones

DEMAND_HEADROOM = 0.6  # square roots of the demand lent above it
DEMAND_FLOOR = 0.3  # requests a second lent above that
DEMAND_WINDOW_S = 4.0
SURE_DEVIATIONS = 2.0  # standard deviations by which a rise or fall is sure
IDLE_DEMAND = 0.01  # requests a second below which an entry gives its loan up
LENT_CAPACITY_PART = 0.85  # of a domain's burst, spread over its entries up front
SPARE_PART = 0.95  # of a domain's unused rate that it lends to other domains
SMALLEST_LOAN = 0.1  # requests a second below which a domain borrows nothing
LEAST_LENT_CAPACITY = 3.0  # below it calls are charged at the steward one by one
MOST_SINGLE_DEMAND = 5.0  # requests a second of an entry for which that is done
