"""Define the formats and sizes of keys and their digests."""

import re

KEY_PREFIX = "ch"
KEY_ID_BYTES = 8
SECRET_BYTES = 32
SALT_BYTES = 16
DIGEST_ALGORITHM = "sha256"
DIGEST_SCHEME = "hmac-sha256"
OPAQUE_DIGEST_SCHEME = "sha256"
OPAQUE_ID_PREFIX = "opaque-"
OPAQUE_ID_DIGITS = 32
KEY_PATTERN = re.compile(
    rf"{KEY_PREFIX}_([A-Za-z0-9.-]{{1,64}})_([0-9a-f]{{{2 * SECRET_BYTES}}})"
)
MAX_OVERLAP_S = 30 * 86_400.0
