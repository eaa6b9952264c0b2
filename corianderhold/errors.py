"""Define the base of the errors that corianderhold raises."""


class CorianderholdError(Exception):
    """Base of every error raised on purpose by this package."""
