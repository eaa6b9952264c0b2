"""Define the errors raised while reading answers files."""

from corianderhold.errors import CorianderholdError


class AnswersUnreadableError(CorianderholdError):
    """An answers file cannot be read; the message names the file."""
