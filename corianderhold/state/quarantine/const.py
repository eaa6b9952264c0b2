"""Define the limits of what is known about calls that crash targets."""

ORGANISATION_DIGEST_BYTES = 4
REQUEST_DIGEST_BYTES = 12
FINGERPRINT_BYTES = ORGANISATION_DIGEST_BYTES + REQUEST_DIGEST_BYTES
CRASH_ID_BYTES = 12

REPORT_LIFETIME_S = 600.0
REPORTS_MAX = 64
SUSPECTS_MAX = 128  # of one report
CLEARANCES_MAX = 1024
QUARANTINES_MAX = 1024
ORGANISATION_QUARANTINES_MAX = 128  # of QUARANTINES_MAX, for one organisation

# Without a trial, a call has been in flight at this many crashes, more than any other.
CRASHES_UNTIL_QUARANTINE = 3
QUARANTINE_S = 300.0  # doubled with each further quarantine of the same call
QUARANTINE_MAX_S = 3600.0
