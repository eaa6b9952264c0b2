"""Define the error responses of the administration API."""

from collections.abc import Sequence
from enum import Enum

from corianderhold.errors import CorianderholdError


class ErrorCode(Enum):
    """Machine-readable reason why a request failed."""

    BODY_MISSING = "body_missing"
    BODY_TOO_LONG = "body_too_long"
    BODY_MALFORMED = "body_malformed"
    PARAMETER_MALFORMED = "parameter_malformed"
    READ_ONLY = "read_only"
    TOKEN_MISSING_OR_WRONG = "token_missing_or_wrong"
    CHANGE_UNKNOWN = "change_unknown"
    KEY_REFUSED = "key_refused"
    DRAIN_UNCONFIRMED = "drain_unconfirmed"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_REFUSED = "request_refused"
    INTERNAL = "internal"


class ApiError(CorianderholdError):
    """A request failed; the response has an HTTP status and a JSON error."""

    def __init__(
        self, status: int, code: ErrorCode, message: str, details: Sequence[str] = ()
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.details = tuple(details)
