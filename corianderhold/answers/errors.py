"""Define the errors of reading answers."""

from corianderhold.errors import CorianderholdError


class AnswersUnreadableError(CorianderholdError):
    """A file of answers can't be read; the message names it."""
