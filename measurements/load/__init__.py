"""Generate load in phases against a fleet and compute how it was served."""
