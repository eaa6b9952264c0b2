"""Track calls that were in flight when a target crashed."""
