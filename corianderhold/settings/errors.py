"""Define the errors of reading settings."""

from corianderhold.errors import CorianderholdError


class SettingsError(CorianderholdError):
    """The settings can't be used; the message has one line for each fault."""
