"""Define the base class of the errors of corianderhold."""


class CorianderholdError(Exception):
    """Base class of all errors that this package raises deliberately."""
