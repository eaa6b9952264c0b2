"""Define the errors of HTTP."""

from http import HTTPStatus

from corianderhold.errors import CorianderholdError
from corianderhold.protocol.verdict import Refusal


class TargetError(CorianderholdError):
    """The target's answer broke off."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


class AnswerError(CorianderholdError):
    """The target's bytes are no whole answer."""


class RequestError(CorianderholdError):
    """A request that can't be served and after which the connection is closed."""

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


def malformed(detail: str) -> RequestError:
    """Return the error of a request that breaks HTTP."""
    return RequestError(HTTPStatus.BAD_REQUEST, detail)
