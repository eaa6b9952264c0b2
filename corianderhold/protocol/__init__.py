"""Define the messages, verdicts and header names that processes exchange."""
