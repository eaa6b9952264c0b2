"""Define the errors of peer links."""

from corianderhold.errors import CorianderholdError


class LinkError(CorianderholdError):
    """A link can't be used any more."""


class LinkClosedError(LinkError):
    """The other side closed the link, or its connection broke."""


class LinkSilentError(LinkError):
    """Nothing came on the link within the time-out."""
