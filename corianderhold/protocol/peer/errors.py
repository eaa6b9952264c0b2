"""Define the errors of the peer protocol."""

from corianderhold.errors import CorianderholdError


class FrameError(CorianderholdError):
    """The bytes received on a link are not a valid frame."""
