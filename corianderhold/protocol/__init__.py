"""Define the messages, verdicts and header names used between processes."""
