"""Emulate the platform: log service, targets and callers."""
