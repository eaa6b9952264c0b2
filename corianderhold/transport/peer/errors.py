"""Define the errors of peer links."""

from corianderhold.errors import CorianderholdError


class LinkError(CorianderholdError):
    """The link is no longer usable."""


class LinkClosedError(LinkError):
    """The peer closed the link, or its connection failed."""


class LinkSilentError(LinkError):
    """The peer sent or accepted nothing within the time-out."""
