"""Name the constants of the rate limit."""

UNKNOWN_RETRY_AFTER_MS = 1000
LONGEST_RETRY_AFTER_MS = 60_000

ENTRY_LOAN_S = 3.0  # an entry uses a loan this long after its request
ENTRY_LOAN_KEPT_S = 3.3  # its lender takes it back this long after the grant
DOMAIN_LOAN_S = 6.0  # the same between stewards; longer, to be lent on to entries
DOMAIN_LOAN_KEPT_S = 6.5
RENEW_INTERVAL_S = 1.0
EARLY_RENEW_INTERVAL_S = 0.1
LOAN_TIMEOUT_S = 0.5
RAISE_DELAY_S = 15.0  # until a raised share is used, for all to see the lowered ones

DEMAND_HEADROOM = 1.25
DEMAND_FLOOR = 0.5  # requests a second lent to an entry without demand
DEMAND_WINDOW_S = 1.5
IDLE_DEMAND = 0.01  # requests a second below which an entry gives its loan up
LENT_CAPACITY_PART = 0.6  # of a domain's burst, spread over its entries up front
SPARE_PART = 0.8  # of a domain's unused rate that it lends to other domains
SHORT_PART = 0.3  # of its capacity, below which an entry asks for more early
SMALLEST_LOAN = 0.1  # requests a second below which a domain borrows nothing
