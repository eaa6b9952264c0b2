"""Define the errors of the HTTP client and server."""

from http import HTTPStatus

from corianderhold.errors import CorianderholdError
from corianderhold.protocol.verdict import Refusal


class TargetError(CorianderholdError):
    """The target's response ended early, timed out or was malformed."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


class AnswerError(CorianderholdError):
    """The bytes received from the target are not a complete response."""


class RequestError(CorianderholdError):
    """A request that can't be served; the connection is closed afterwards."""

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


def bad_request(detail: str) -> RequestError:
    """Return the error for a request that violates HTTP (status 400)."""
    return RequestError(HTTPStatus.BAD_REQUEST, detail)
