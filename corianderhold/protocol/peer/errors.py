"""Define the errors of the peer protocol."""

from corianderhold.errors import CorianderholdError


class FrameError(CorianderholdError):
    """The bytes on a link are no valid frame."""
