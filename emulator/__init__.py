"""Stand in for the platform: log service, targets and callers."""
