"""Define the errors of HTTP."""

from corianderhold.errors import CorianderholdError
from corianderhold.protocol.verdict import Refusal


class TargetError(CorianderholdError):
    """The target's answer broke off."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


class AnswerError(CorianderholdError):
    """The target's bytes are no whole answer."""
