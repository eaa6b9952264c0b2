"""Define the errors of the topic "configuration"."""

from corianderhold.errors import CorianderholdError


class ExchangeError(CorianderholdError):
    """The body of a control request or reply is malformed."""
