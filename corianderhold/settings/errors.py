"""Define the errors raised while loading settings."""

from corianderhold.errors import CorianderholdError


class SettingsError(CorianderholdError):
    """The settings are invalid; the message has one line per fault."""
